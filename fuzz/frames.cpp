// The order channel's frames, cut at a place that the input chooses.
#include "native_protocol/frames.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace beamshunt::native_protocol;
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  std::size_t cut = size > 0 ? data[0] % size : 0;
  FrameParser parser(4096);
  std::vector<Frame> frames;
  try {
    parser.feed(bytes.substr(0, cut), frames);
    parser.feed(bytes.substr(cut), frames);
  } catch (const ProtocolError&) {
  }
  for (const Frame& frame : frames) {  // what was read is written and read again as the same
    FrameParser again;
    std::vector<Frame> copy;
    again.feed(encode(frame), copy);
    if (copy.size() != 1 || encode(copy[0]) != encode(frame)) __builtin_trap();
  }
  return 0;
}
