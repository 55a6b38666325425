#ifndef HEMLOCKPOINT_REPORT_FWD_H_
#define HEMLOCKPOINT_REPORT_FWD_H_

namespace hemlockpoint {

class DecisionLog;
struct Decision;
struct Counters;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_REPORT_FWD_H_
