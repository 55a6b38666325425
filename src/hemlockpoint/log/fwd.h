#ifndef HEMLOCKPOINT_LOG_FWD_H_
#define HEMLOCKPOINT_LOG_FWD_H_

namespace hemlockpoint {

class LogLine;
enum class LogLevel;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_LOG_FWD_H_
