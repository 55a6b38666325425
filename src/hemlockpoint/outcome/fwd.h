#ifndef HEMLOCKPOINT_OUTCOME_FWD_H_
#define HEMLOCKPOINT_OUTCOME_FWD_H_

namespace hemlockpoint {

enum class Execution : unsigned char;
enum class Decider : unsigned char;
enum class Reason : unsigned char;
struct Refusal;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_OUTCOME_FWD_H_
