// Frames of the native protocol, split at a position that the input determines.
#include "native_protocol/frames.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace beamshunt::native_protocol;
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  std::size_t split = size > 0 ? data[0] % size : 0;
  FrameParser parser(4096);
  std::vector<Frame> frames;
  try {
    parser.feed(bytes.substr(0, split), frames);
    parser.feed(bytes.substr(split), frames);
  } catch (const ProtocolError&) {
  }
  for (const Frame& frame : frames) {  // a decoded frame must survive encoding and decoding
    FrameParser second_parser;
    std::vector<Frame> decoded;
    second_parser.feed(encode(frame), decoded);
    if (decoded.size() != 1 || encode(decoded[0]) != encode(frame)) __builtin_trap();
  }
  return 0;
}
