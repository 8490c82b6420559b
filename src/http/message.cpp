#include "http/message.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/parse.h"

namespace beamshunt::http {
namespace {

bool is_token(std::string_view text) {
  auto is_token_character = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  };
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}
// Returns whether the text is not empty and contains neither spaces nor control characters.
bool is_visible(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c != 0x7f; });
}
bool has_control(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f; });
}
std::string to_lower(std::string_view text) {
  std::string out(text);
  for (char& c : out)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return out;
}
std::string_view trim_whitespace(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}
const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";
  }
}

}  // namespace

std::string_view Message::header(std::string_view name) const {
  for (auto& [key, value] : headers)
    if (key == name) return value;
  return {};
}

void Parser::fail(int status, const std::string& cause) const {
  throw ParseError(status, parsed_bytes_, cause);
}

void Parser::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    std::size_t consumed = 0;
    switch (state_) {
      case State::sized_body:
      case State::chunk_data:
        consumed = consume_body(bytes, remaining_bytes_);
        remaining_bytes_ -= consumed;
        parsed_bytes_ += consumed;
        if (remaining_bytes_ == 0 && state_ == State::sized_body) finish_message();
        else if (remaining_bytes_ == 0) state_ = State::chunk_end;
        break;
      case State::body_to_end:
        consumed = consume_body(bytes, bytes.size());
        parsed_bytes_ += consumed;
        break;
      default: {
        std::size_t newline = bytes.find('\n');
        consumed = newline == std::string_view::npos ? bytes.size() : newline + 1;
        if (line_.size() + consumed > limits_.max_line_bytes)
          fail(state_ == State::start_line ? 400 : 431, "a line is too long");
        line_ += bytes.substr(0, consumed);
        parsed_bytes_ += consumed;
        if (newline == std::string_view::npos) break;
        // A line feed without a carriage return ends a line for some parsers and not for others. It is
        // rejected because that difference makes request smuggling possible.
        if (line_.size() < 2 || line_[line_.size() - 2] != '\r') fail(400, "a line ends without a return");
        std::string text = std::exchange(line_, {});
        text.resize(text.size() - 2);
        parse_line(text);
      }
    }
    bytes.remove_prefix(consumed);
  }
}

void Parser::finish() {
  if (state_ == State::body_to_end) return finish_message();
  if (!between_messages()) fail(400, "the stream ends inside a message");
}

void Parser::parse_line(std::string_view text) {
  head_bytes_ += text.size();
  if (head_bytes_ > limits_.max_head_bytes) fail(431, "the head is too long");
  switch (state_) {
    case State::start_line:
      if (text.empty() && kind_ == Kind::request) return;  // RFC 9112, section 2.2: ignore empty lines
      return parse_start_line(text);
    case State::headers:
      return text.empty() ? finish_head() : parse_header_line(text);
    case State::chunk_size:
      return parse_chunk_size(text);
    case State::chunk_end:
      if (!text.empty()) fail(400, "a chunk is longer than it says");
      state_ = State::chunk_size;
      head_bytes_ = 0;
      return;
    case State::trailers:
      if (text.empty()) finish_message();  // trailer fields are ignored
      return;
    default:
      return;
  }
}

void Parser::parse_start_line(std::string_view text) {
  if (has_control(text)) fail(400, "a control character in the first line");
  std::size_t first_space = text.find(' '),
              second_space =
                  text.find(' ', first_space == std::string_view::npos ? first_space : first_space + 1);
  std::string_view version;
  if (kind_ == Kind::request) {
    if (second_space == std::string_view::npos || text.find(' ', second_space + 1) != std::string_view::npos)
      fail(400, "not a request line");
    message_.method = text.substr(0, first_space);
    message_.target = text.substr(first_space + 1, second_space - first_space - 1);
    version = text.substr(second_space + 1);
    if (!is_token(message_.method)) fail(400, "not a method");
    if (!is_visible(message_.target)) fail(400, "not a target");
  } else {
    if (first_space == std::string_view::npos) fail(502, "not a status line");
    version = text.substr(0, first_space);
    std::string_view code = text.substr(first_space + 1, 3);
    message_.status = base::parse_number<int>(code).value_or(0);
    if (code.size() != 3 || message_.status < 100) fail(502, "not a status");
    if (text.size() > first_space + 4 && text[first_space + 4] != ' ') fail(502, "not a status line");
    if (text.size() > first_space + 5) message_.reason = text.substr(first_space + 5);
  }
  if (version == "HTTP/1.1") message_.minor_version = 1;
  else if (version == "HTTP/1.0") message_.minor_version = 0;
  else fail(version.substr(0, 5) == "HTTP/" ? 505 : 400, "not HTTP/1.1");
  message_.keep_alive = message_.minor_version == 1;
  state_ = State::headers;
}

void Parser::parse_header_line(std::string_view text) {
  if (message_.headers.size() >= limits_.max_headers) fail(431, "too many headers");
  if (text[0] == ' ' || text[0] == '\t') fail(400, "a folded header");
  std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) fail(400, "a header without a colon");
  if (!is_token(text.substr(0, colon))) fail(400, "not a header name");
  std::string_view value = trim_whitespace(text.substr(colon + 1));
  if (has_control(value)) fail(400, "a control character in a header");
  message_.headers.emplace_back(to_lower(text.substr(0, colon)), value);
}

void Parser::finish_head() {
  bool chunked = false, sized = false;
  std::uint64_t size = 0;
  for (auto& [name, value] : message_.headers) {
    if (name == "transfer-encoding") {
      if (to_lower(value) != "chunked" || chunked) fail(501, "a transfer coding other than chunked");
      chunked = true;
    } else if (name == "content-length") {
      auto parsed = base::parse_number<std::uint64_t>(value);
      if (!parsed) fail(400, "not a content length");
      if (sized && *parsed != size) fail(400, "two content lengths");
      sized = true, size = *parsed;
    } else if (name == "connection") {
      std::string options = to_lower(value);
      if (options.find("close") != std::string::npos) message_.keep_alive = false;
      else if (options.find("keep-alive") != std::string::npos) message_.keep_alive = true;
    }
  }
  // With both headers, two parsers may see different messages, which makes request smuggling possible.
  if (chunked && sized) fail(400, "both a content length and a transfer coding");
  if (chunked && message_.minor_version == 0) fail(400, "a transfer coding in HTTP/1.0");
  if (sized && size > limits_.max_body_bytes) fail(413, "a body of " + std::to_string(size) + " bytes");
  if (kind_ == Kind::request && message_.minor_version == 1 && message_.header("host").empty())
    fail(400, "no host header");
  bool interim = kind_ == Kind::response && message_.status < 200;
  body_bytes_ = 0;
  if (interim || (kind_ == Kind::response && (no_body_ || message_.status == 204 || message_.status == 304)))
    return finish_message();
  if (chunked) state_ = State::chunk_size, head_bytes_ = 0;
  else if (sized && size > 0) state_ = State::sized_body, remaining_bytes_ = size;
  else if (sized || kind_ == Kind::request) finish_message();
  else state_ = State::body_to_end, message_.keep_alive = false;
}

void Parser::parse_chunk_size(std::string_view text) {
  std::string_view digits = trim_whitespace(text.substr(0, text.find(';')));  // chunk extensions are ignored
  auto parsed = base::parse_number<std::uint64_t>(digits, 16);
  if (!parsed || digits.size() > 16) fail(400, "not a chunk size");
  remaining_bytes_ = *parsed;
  state_ = remaining_bytes_ == 0 ? State::trailers : State::chunk_data;
  if (remaining_bytes_ > limits_.max_body_bytes)
    fail(413, "a chunk of " + std::to_string(remaining_bytes_) + " bytes");
}

std::size_t Parser::consume_body(std::string_view bytes, std::size_t limit) {
  bytes = bytes.substr(0, limit);
  if (sink_.on_body(bytes)) return bytes.size();
  body_bytes_ += bytes.size();
  if (body_bytes_ > limits_.max_body_bytes)
    fail(413, "a body over " + std::to_string(limits_.max_body_bytes) + " bytes");
  message_.body += bytes;
  return bytes.size();
}

void Parser::finish_message() {
  bool interim = kind_ == Kind::response && message_.status < 200;
  state_ = State::start_line;
  head_bytes_ = 0;
  Message complete = std::exchange(message_, {});
  if (!interim) sink_.on_message(std::move(complete));
}

std::string serialize(const Message& message) {
  std::string out;
  if (message.status != 0)
    out = fmt::format("HTTP/1.1 {} {}\r\n", message.status,
                      message.reason.empty() ? reason_phrase(message.status) : message.reason);
  else out = fmt::format("{} {} HTTP/1.1\r\n", message.method, message.target);
  bool chunked = false;
  for (auto& [name, value] : message.headers) {
    out += fmt::format("{}: {}\r\n", name, value);
    chunked |= name == "transfer-encoding";
  }
  if (!chunked && (message.status != 0 || !message.body.empty()))
    out += fmt::format("content-length: {}\r\n", message.body.size());
  if (!message.keep_alive) out += "connection: close\r\n";
  return out + "\r\n" + message.body;
}

Message make_response(int status, std::string body, std::string_view type) {
  Message message;
  message.status = status;
  message.body = std::move(body);
  if (!message.body.empty()) message.headers.emplace_back("content-type", type);
  return message;
}

Message make_request(std::string method, std::string target, std::string body) {
  Message message;
  message.method = std::move(method);
  message.target = std::move(target);
  message.body = std::move(body);
  message.headers.emplace_back("host", "beamshunt");
  return message;
}

std::string encode_chunk(std::string_view data) { return fmt::format("{:x}\r\n{}\r\n", data.size(), data); }

}  // namespace beamshunt::http
