#ifndef HEMLOCKPOINT_WIRE_FWD_H_
#define HEMLOCKPOINT_WIRE_FWD_H_

namespace hemlockpoint {

struct Hello;
struct CallStart;
struct BodyChunk;
struct BodyCredit;
struct ResponseStart;
struct CallAbort;
struct Heartbeat;
struct DirectoryDelta;
class StreamCompressor;
class StreamDecompressor;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_FWD_H_
