#ifndef HEMLOCKPOINT_PEER_FWD_H_
#define HEMLOCKPOINT_PEER_FWD_H_

namespace hemlockpoint {

class PeerHub;
struct PeerEvents;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_PEER_FWD_H_
