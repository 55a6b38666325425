# Defines one package of the workspace as a static library.
#
#   hemlockpoint_package(<name> SOURCES <file>... [DEPENDS <target>...])
#
# The library's target is hemlockpoint_<name>; headers are included as
# "hemlockpoint/<name>/<header>.h".
function(hemlockpoint_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(hemlockpoint_${name} STATIC ${ARG_SOURCES})
  target_include_directories(hemlockpoint_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(hemlockpoint_${name} PUBLIC ${ARG_DEPENDS})
endfunction()
