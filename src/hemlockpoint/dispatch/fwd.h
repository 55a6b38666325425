#ifndef HEMLOCKPOINT_DISPATCH_FWD_H_
#define HEMLOCKPOINT_DISPATCH_FWD_H_

namespace hemlockpoint {

struct RefusedRequests;
struct ResponseSizes;
struct RetryAfterTable;
struct SlotQueue;
struct SlotCall;
struct ServiceTimes;
struct TargetChoice;
struct RetryWindow;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_FWD_H_
