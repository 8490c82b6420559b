// HTTP/1.1 messages and an incremental parser for them (RFC 9112). All parts of a message are limited in
// size. The functions perform no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beamshunt::http {

// A request or a response. A response has a status other than 0.
struct Message {
  std::string method, target;                                // set in requests only
  int status = 0;                                            // set in responses only
  std::string reason;                                        // reason phrase of a response
  int minor_version = 1;                                     // HTTP/1.x
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
  std::string body;                                          // empty if the sink of the parser consumed it
  bool keep_alive = true;

  // Returns the value of the first header of this name, which must be in lower case. Returns an empty string
  // if there is none.
  std::string_view header(std::string_view name) const;
};

// Limits of the parser. The sizes are in bytes. The head is the start line and all header lines together.
struct Limits {
  std::size_t max_line_bytes = 8192, max_head_bytes = 32768, max_headers = 100,
              max_body_bytes = std::size_t{4} * 1048576;
};

// Reports a malformed or oversized message. `status` is the HTTP status for the response to the peer.
// `offset` is the position in the stream, in bytes since the construction of the parser.
class ParseError : public std::runtime_error {
 public:
  ParseError(int response_status, std::uint64_t stream_offset, const std::string& cause)
      : std::runtime_error(cause), status(response_status), offset(stream_offset) {}
  int status;
  std::uint64_t offset;
};

// Parses the messages of one direction of a connection. It is not usable after a ParseError.
class Parser {
 public:
  enum class Kind { request, response };
  // Receives the parsed messages.
  struct Sink {
    virtual ~Sink() = default;
    // Offers a part of a body. Returns whether the sink has consumed it; otherwise the parser appends it to
    // Message::body.
    virtual bool on_body(std::string_view) { return false; }
    // Delivers a complete message. Interim responses (1xx) are not delivered.
    virtual void on_message(Message&& message) = 0;
  };

  // `sink` must outlive the parser.
  Parser(Kind kind, Sink& sink, Limits limits = {}) : kind_(kind), sink_(sink), limits_(limits) {}
  // Parses received bytes, which may contain several messages or a fragment of one. Throws ParseError.
  void feed(std::string_view bytes);
  // Handles the end of the stream. It completes a response whose body is delimited by the end of the
  // connection. Throws ParseError if the stream ends inside another message.
  void finish();
  // Sets the method of the request to which the next response belongs. Responses to HEAD have no body.
  void set_request_method(std::string_view method) { no_body_ = method == "HEAD"; }
  // Returns the status of the response whose body is being parsed.
  int status() const { return message_.status; }
  // Returns whether the parser is between messages, with no bytes of the next one received.
  bool between_messages() const { return state_ == State::start_line && line_.empty(); }

 private:
  enum class State {
    start_line,
    headers,
    sized_body,
    body_to_end,
    chunk_size,
    chunk_data,
    chunk_end,
    trailers
  };
  [[noreturn]] void fail(int status, const std::string& cause) const;
  void parse_line(std::string_view text);
  void parse_start_line(std::string_view text);
  void parse_header_line(std::string_view text);
  // Determines how the body is delimited once all headers are parsed.
  void finish_head();
  void parse_chunk_size(std::string_view text);
  // Consumes at most `limit` bytes of the body and returns the number of bytes consumed.
  std::size_t consume_body(std::string_view bytes, std::size_t limit);
  void finish_message();

  Kind kind_;
  Sink& sink_;
  Limits limits_;
  State state_ = State::start_line;
  Message message_;
  std::string line_;
  std::uint64_t parsed_bytes_ = 0;     // bytes since the construction of the parser
  std::uint64_t remaining_bytes_ = 0;  // bytes left in the current body or chunk
  std::size_t head_bytes_ = 0, body_bytes_ = 0;
  bool no_body_ = false;
};

// Encodes a message. A content-length header is added unless the message has a transfer-encoding header or is
// a request without a body.
std::string serialize(const Message& message);
Message make_response(int status, std::string body, std::string_view type = "application/json");
Message make_request(std::string method, std::string target, std::string body = {});
// Encodes one chunk of a chunked body. An empty chunk ends the body.
std::string encode_chunk(std::string_view data);

}  // namespace beamshunt::http
