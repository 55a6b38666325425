# Defines a static library from the sources of one folder of src/hemlockpoint.
#
#   hemlockpoint_package(<name> SOURCES <file>... [DEPENDS <target>...])
#
# The CMake target is hemlockpoint_<name>. Headers are included as
# "hemlockpoint/<name>/<header>.h".
function(hemlockpoint_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(hemlockpoint_${name} STATIC ${ARG_SOURCES})
  target_include_directories(hemlockpoint_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(hemlockpoint_${name} PUBLIC ${ARG_DEPENDS})
endfunction()
