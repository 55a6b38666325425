#ifndef HEMLOCKPOINT_STORAGE_FWD_H_
#define HEMLOCKPOINT_STORAGE_FWD_H_

namespace hemlockpoint {

struct RecordScan;
struct StoredRaftState;
class DataFolder;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_STORAGE_FWD_H_
