#ifndef HEMLOCKPOINT_RELAY_FWD_H_
#define HEMLOCKPOINT_RELAY_FWD_H_

namespace hemlockpoint {

struct Dialect;
struct OutsideOperations;
struct RelayCore;
struct TargetReport;
class CrashWatch;
class RouteEntry;
class SlotGate;
class RelayNode;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_FWD_H_
