#ifndef HEMLOCKPOINT_DOCUMENTS_FWD_H_
#define HEMLOCKPOINT_DOCUMENTS_FWD_H_

namespace hemlockpoint {

struct DocumentChange;
struct DocumentStore;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DOCUMENTS_FWD_H_
