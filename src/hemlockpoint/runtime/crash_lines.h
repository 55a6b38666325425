#ifndef HEMLOCKPOINT_RUNTIME_CRASH_LINES_H_
#define HEMLOCKPOINT_RUNTIME_CRASH_LINES_H_

#include <string>

namespace hemlockpoint {

/// @brief Makes the process write structured lines when an uncaught exception,
/// an abort or a memory fault ends it, with the code addresses of the calling
/// functions relative to the program. The process then ends as it would have
/// without them. Lines that the log has queued are lost.
/// @param node Name of the node in the lines.
/// @param file Descriptor to write to. It isn't closed.
void WriteLinesOnCrash(const std::string& node, int file);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_CRASH_LINES_H_
