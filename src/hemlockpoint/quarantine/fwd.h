#ifndef HEMLOCKPOINT_QUARANTINE_FWD_H_
#define HEMLOCKPOINT_QUARANTINE_FWD_H_

namespace hemlockpoint {

struct CrashCounts;
struct QuarantineTable;
struct SuspectEntry;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_QUARANTINE_FWD_H_
