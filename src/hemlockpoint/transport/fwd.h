#ifndef HEMLOCKPOINT_TRANSPORT_FWD_H_
#define HEMLOCKPOINT_TRANSPORT_FWD_H_

namespace hemlockpoint {

class BodyPipe;
class RequestSender;
class AnswerSender;
struct CallState;
struct OutboundCall;
struct InboundCall;
class LinkLayer;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TRANSPORT_FWD_H_
