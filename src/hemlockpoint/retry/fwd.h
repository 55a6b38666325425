#ifndef HEMLOCKPOINT_RETRY_FWD_H_
#define HEMLOCKPOINT_RETRY_FWD_H_

namespace hemlockpoint {

struct RetryTokenBucket;
struct RetryBudget;
struct ResendTable;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RETRY_FWD_H_
