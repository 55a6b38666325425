#ifndef HEMLOCKPOINT_ROUTING_FWD_H_
#define HEMLOCKPOINT_ROUTING_FWD_H_

namespace hemlockpoint {

struct Balancer;
struct TargetView;
struct ThrottleState;
struct ThresholdTable;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTING_FWD_H_
