#ifndef HEMLOCKPOINT_CONSENSUS_FWD_H_
#define HEMLOCKPOINT_CONSENSUS_FWD_H_

namespace hemlockpoint {

struct RaftState;
struct RaftOutput;
struct RaftEnvelope;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONSENSUS_FWD_H_
