#ifndef HEMLOCKPOINT_BASE_FWD_H_
#define HEMLOCKPOINT_BASE_FWD_H_

namespace hemlockpoint {

class Millis;
class Findings;
struct Finding;
struct SourceLocation;
struct Endpoint;
template <typename Value>
class Result;
template <typename Tag>
class StringId;
template <typename Tag>
class NumberId;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BASE_FWD_H_
