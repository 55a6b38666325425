#ifndef HEMLOCKPOINT_DISPATCH_FWD_H_
#define HEMLOCKPOINT_DISPATCH_FWD_H_

namespace hemlockpoint {

struct AnswerSizes;
struct Appointments;
struct SlotQueue;
struct WaitingCall;
struct ServiceTimes;
struct TargetChoice;
struct RepeatWindow;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_FWD_H_
