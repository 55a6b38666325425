#ifndef HEMLOCKPOINT_POLICY_FWD_H_
#define HEMLOCKPOINT_POLICY_FWD_H_

namespace hemlockpoint {

struct Policy;
struct PolicySection;
struct PolicyDocument;
struct WorkPattern;
struct CallClassification;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_POLICY_FWD_H_
