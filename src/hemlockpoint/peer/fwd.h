#ifndef HEMLOCKPOINT_PEER_FWD_H_
#define HEMLOCKPOINT_PEER_FWD_H_

namespace hemlockpoint {

class PeerLinks;
struct PeerLinkCallbacks;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_PEER_FWD_H_
