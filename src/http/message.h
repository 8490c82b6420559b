// HTTP/1.1 messages and their incremental parser (RFC 9112), bounded in every part. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beamshunt::http {

struct Message {               // a request or a response
  std::string method, target;  // of a request
  int status = 0;              // of a response
  std::string reason;
  int minor_version = 1;                                     // of HTTP/1.x
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
  std::string body;                                          // whole, unless the parser streams it
  bool keep_alive = true;

  std::string_view header(std::string_view name) const;  // the first; empty if there is none
};

struct Limits {  // bytes, but for `headers`
  std::size_t max_line_bytes = 8192, max_head_bytes = 32768, max_headers = 100,
              max_body_bytes = std::size_t{4} * 1048576;
};

// A message that breaks the rules. `status` is what a server answers, `offset` counts bytes fed since the
// parser was made.
class ParseError : public std::runtime_error {
 public:
  ParseError(int answer, std::uint64_t where, const std::string& cause)
      : std::runtime_error(cause), status(answer), offset(where) {}
  int status;
  std::uint64_t offset;
};

class Parser {
 public:
  enum class Kind { request, response };
  struct Sink {
    virtual ~Sink() = default;
    // A part of a streamed body. True if the sink takes it; else it is collected in Message::body.
    virtual bool on_body(std::string_view) { return false; }
    virtual void on_message(Message&& message) = 0;
  };

  Parser(Kind kind, Sink& sink, Limits limits = {}) : kind_(kind), sink_(sink), limits_(limits) {}
  // Reads all of `bytes`, which may hold several messages or a part of one. Throws ParseError, after which
  // the stream can't be read any further.
  void feed(std::string_view bytes);
  // The peer sends no more: ends a response whose body lasts to the end of the stream. Throws ParseError if
  // the end comes inside a message.
  void finish();
  // The next response answers a request of this method (HEAD has no body).
  void set_request_method(std::string_view method) { no_body_ = method == "HEAD"; }
  int status() const { return message_.status; }  // of the response whose body is being read
  bool between_messages() const { return state_ == State::start && line_.empty(); }

 private:
  enum class State { start, headers, sized, to_end, chunk_size, chunk, chunk_end, trailers };
  [[noreturn]] void fail(int status, const std::string& cause) const;
  void line(std::string_view text);
  void start_line(std::string_view text);
  void header_line(std::string_view text);
  void head_done();
  void chunk_size_line(std::string_view text);
  std::size_t take_body(std::string_view bytes, std::size_t most);
  void message_done();

  Kind kind_;
  Sink& sink_;
  Limits limits_;
  State state_ = State::start;
  Message message_;
  std::string line_;
  std::uint64_t fed_ = 0, left_ = 0;  // left_: bytes of this body or chunk
  std::size_t head_bytes_ = 0, body_bytes_ = 0;
  bool no_body_ = false;
};

// The bytes of a message; a Content-Length is added, the body goes as it is.
std::string serialize(const Message& message);
Message make_response(int status, std::string body, std::string_view type = "application/json");
Message make_request(std::string method, std::string target, std::string body = {});
std::string encode_chunk(std::string_view data);  // of a chunked body; an empty one ends it

}  // namespace beamshunt::http
