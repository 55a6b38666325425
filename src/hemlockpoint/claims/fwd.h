#ifndef HEMLOCKPOINT_CLAIMS_FWD_H_
#define HEMLOCKPOINT_CLAIMS_FWD_H_

namespace hemlockpoint {

struct ClaimReplica;
struct ClaimRecord;
struct ClaimAttempt;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CLAIMS_FWD_H_
