#ifndef HEMLOCKPOINT_RUNTIME_FWD_H_
#define HEMLOCKPOINT_RUNTIME_FWD_H_

namespace hemlockpoint {

class FiberLoop;
class FiberEvent;
struct IoResult;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_FWD_H_
