#ifndef HEMLOCKPOINT_CONTROL_FWD_H_
#define HEMLOCKPOINT_CONTROL_FWD_H_

namespace hemlockpoint {

class ControlService;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_FWD_H_
