#ifndef HEMLOCKPOINT_CTL_FWD_H_
#define HEMLOCKPOINT_CTL_FWD_H_

namespace hemlockpoint {

class AdminClient;
struct CtlOptions;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CTL_FWD_H_
