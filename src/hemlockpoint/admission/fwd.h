#ifndef HEMLOCKPOINT_ADMISSION_FWD_H_
#define HEMLOCKPOINT_ADMISSION_FWD_H_

namespace hemlockpoint {

struct DurationTable;
struct LimitState;
struct CallQueue;
struct QueuedCall;
struct ShedState;
struct AdmissionState;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ADMISSION_FWD_H_
