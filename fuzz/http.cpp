// HTTP/1.1 requests and responses, cut where the input says; the cut must not change the reading.
#include "http/message.h"

namespace {

struct Sink : beamshunt::http::Parser::Sink {
  void on_message(beamshunt::http::Message&& m) override {
    if (m.body.size() > 1000) __builtin_trap();
    read += m.method + m.target + std::to_string(m.status) + m.body + "|";
  }
  std::string read;
};

std::string read(std::string_view bytes, std::size_t cut, beamshunt::http::Parser::Kind kind) {
  Sink sink;
  beamshunt::http::Parser parser(
      kind, sink, {.max_line_bytes = 256, .max_head_bytes = 1024, .max_headers = 16, .max_body_bytes = 1000});
  try {
    parser.feed(bytes.substr(0, cut));
    parser.feed(bytes.substr(cut));
    parser.finish();
  } catch (const beamshunt::http::ParseError&) {
  }
  return sink.read;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using Kind = beamshunt::http::Parser::Kind;
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  std::size_t cut = size > 0 ? data[0] % size : 0;
  for (Kind kind : {Kind::request, Kind::response})
    if (read(bytes, cut, kind) != read(bytes, 0, kind)) __builtin_trap();
  return 0;
}
