#ifndef HEMLOCKPOINT_TRANSPORT_FWD_H_
#define HEMLOCKPOINT_TRANSPORT_FWD_H_

namespace hemlockpoint {

class BodyPipe;
class RequestSender;
class ResponseSender;
struct CallState;
struct OutboundCall;
struct InboundCall;
class LinkManager;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TRANSPORT_FWD_H_
