#ifndef HEMLOCKPOINT_MEMBERSHIP_FWD_H_
#define HEMLOCKPOINT_MEMBERSHIP_FWD_H_

namespace hemlockpoint {

struct Directory;
struct DirectoryMember;
struct Subscriber;
struct MemberView;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_MEMBERSHIP_FWD_H_
