// HTTP/1.1 requests and responses, split at a position that the input determines. The position must not
// change the parsed messages.
#include "http/message.h"

namespace {

struct Sink : beamshunt::http::Parser::Sink {
  void on_message(beamshunt::http::Message&& message) override {
    if (message.body.size() > 1000) __builtin_trap();
    parsed += message.method + message.target + std::to_string(message.status) + message.body + "|";
  }
  std::string parsed;
};

std::string parse(std::string_view bytes, std::size_t split, beamshunt::http::Parser::Kind kind) {
  Sink sink;
  beamshunt::http::Parser parser(
      kind, sink, {.max_line_bytes = 256, .max_head_bytes = 1024, .max_headers = 16, .max_body_bytes = 1000});
  try {
    parser.feed(bytes.substr(0, split));
    parser.feed(bytes.substr(split));
    parser.finish();
  } catch (const beamshunt::http::ParseError&) {
  }
  return sink.parsed;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using Kind = beamshunt::http::Parser::Kind;
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  std::size_t split = size > 0 ? data[0] % size : 0;
  for (Kind kind : {Kind::request, Kind::response})
    if (parse(bytes, split, kind) != parse(bytes, 0, kind)) __builtin_trap();
  return 0;
}
