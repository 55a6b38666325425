#ifndef HEMLOCKPOINT_ENTRY_FWD_H_
#define HEMLOCKPOINT_ENTRY_FWD_H_

namespace hemlockpoint {

struct EntryCall;
struct EntryFilterState;
struct TargetCall;
struct CallerRequest;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ENTRY_FWD_H_
