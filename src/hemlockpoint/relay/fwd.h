#ifndef HEMLOCKPOINT_RELAY_FWD_H_
#define HEMLOCKPOINT_RELAY_FWD_H_

namespace hemlockpoint {

struct ProtocolAdapter;
struct ExternalOperations;
struct RelayContext;
struct TargetReport;
class CrashDetector;
class RequestRouter;
class SlotDispatcher;
class RelayNode;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_FWD_H_
