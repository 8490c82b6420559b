#include "http/message.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/parse.h"

namespace beamshunt::http {
namespace {

bool is_token(std::string_view text) {
  auto fits = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  };
  return !text.empty() && std::all_of(text.begin(), text.end(), fits);
}
bool is_visible(std::string_view text) {  // no space, no control
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c != 0x7f; });
}
bool has_control(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f; });
}
std::string lower(std::string_view text) {
  std::string out(text);
  for (char& c : out)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return out;
}
std::string_view trimmed(std::string_view text) {
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

void Parser::fail(int status, const std::string& cause) const { throw ParseError(status, fed_, cause); }

void Parser::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    std::size_t took = 0;
    switch (state_) {
      case State::sized:
      case State::chunk:
        took = take_body(bytes, left_);
        left_ -= took;
        fed_ += took;
        if (left_ == 0 && state_ == State::sized) message_done();
        else if (left_ == 0) state_ = State::chunk_end;
        break;
      case State::to_end:
        took = take_body(bytes, bytes.size());
        fed_ += took;
        break;
      default: {
        std::size_t newline = bytes.find('\n');
        took = newline == std::string_view::npos ? bytes.size() : newline + 1;
        if (line_.size() + took > limits_.max_line_bytes)
          fail(state_ == State::start ? 400 : 431, "a line is too long");
        line_ += bytes.substr(0, took);
        fed_ += took;
        if (newline == std::string_view::npos) break;
        // A bare newline ends a line for some readers and not for others: two readings are one too many.
        if (line_.size() < 2 || line_[line_.size() - 2] != '\r') fail(400, "a line ends without a return");
        std::string text = std::exchange(line_, {});
        text.resize(text.size() - 2);
        line(text);
      }
    }
    bytes.remove_prefix(took);
  }
}

void Parser::finish() {
  if (state_ == State::to_end) return message_done();
  if (!between_messages()) fail(400, "the stream ends inside a message");
}

void Parser::line(std::string_view text) {
  head_bytes_ += text.size();
  if (head_bytes_ > limits_.max_head_bytes) fail(431, "the head is too long");
  switch (state_) {
    case State::start:
      if (text.empty() && kind_ == Kind::request) return;  // RFC 9112 2.2: skip an empty line
      return start_line(text);
    case State::headers:
      return text.empty() ? head_done() : header_line(text);
    case State::chunk_size:
      return chunk_size_line(text);
    case State::chunk_end:
      if (!text.empty()) fail(400, "a chunk is longer than it says");
      state_ = State::chunk_size;
      head_bytes_ = 0;
      return;
    case State::trailers:
      if (text.empty()) message_done();  // trailers are read and not used
      return;
    default:
      return;
  }
}

void Parser::start_line(std::string_view text) {
  if (has_control(text)) fail(400, "a control character in the first line");
  std::size_t first = text.find(' '),
              second = text.find(' ', first == std::string_view::npos ? first : first + 1);
  std::string_view version;
  if (kind_ == Kind::request) {
    if (second == std::string_view::npos || text.find(' ', second + 1) != std::string_view::npos)
      fail(400, "not a request line");
    message_.method = text.substr(0, first);
    message_.target = text.substr(first + 1, second - first - 1);
    version = text.substr(second + 1);
    if (!is_token(message_.method)) fail(400, "not a method");
    if (!is_visible(message_.target)) fail(400, "not a target");
  } else {
    if (first == std::string_view::npos) fail(502, "not a status line");
    version = text.substr(0, first);
    std::string_view code = text.substr(first + 1, 3);
    message_.status = base::parse_number<int>(code).value_or(0);
    if (code.size() != 3 || message_.status < 100) fail(502, "not a status");
    if (text.size() > first + 4 && text[first + 4] != ' ') fail(502, "not a status line");
    if (text.size() > first + 5) message_.reason = text.substr(first + 5);
  }
  if (version == "HTTP/1.1") message_.minor_version = 1;
  else if (version == "HTTP/1.0") message_.minor_version = 0;
  else fail(version.substr(0, 5) == "HTTP/" ? 505 : 400, "not HTTP/1.1");
  message_.keep_alive = message_.minor_version == 1;
  state_ = State::headers;
}

void Parser::header_line(std::string_view text) {
  if (message_.headers.size() >= limits_.max_headers) fail(431, "too many headers");
  if (text[0] == ' ' || text[0] == '\t') fail(400, "a folded header");
  std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) fail(400, "a header without a colon");
  if (!is_token(text.substr(0, colon))) fail(400, "not a header name");
  std::string_view value = trimmed(text.substr(colon + 1));
  if (has_control(value)) fail(400, "a control character in a header");
  message_.headers.emplace_back(lower(text.substr(0, colon)), value);
}

void Parser::head_done() {
  bool chunked = false, sized = false;
  std::uint64_t size = 0;
  for (auto& [name, value] : message_.headers) {
    if (name == "transfer-encoding") {
      if (lower(value) != "chunked" || chunked) fail(501, "a transfer coding other than chunked");
      chunked = true;
    } else if (name == "content-length") {
      auto given = base::parse_number<std::uint64_t>(value);
      if (!given) fail(400, "not a content length");
      if (sized && *given != size) fail(400, "two content lengths");
      sized = true, size = *given;
    } else if (name == "connection") {
      std::string words = lower(value);
      if (words.find("close") != std::string::npos) message_.keep_alive = false;
      else if (words.find("keep-alive") != std::string::npos) message_.keep_alive = true;
    }
  }
  // Where both are given, two readers may see two different messages: request smuggling.
  if (chunked && sized) fail(400, "both a content length and a transfer coding");
  if (chunked && message_.minor_version == 0) fail(400, "a transfer coding in HTTP/1.0");
  if (sized && size > limits_.max_body_bytes) fail(413, "a body of " + std::to_string(size) + " bytes");
  if (kind_ == Kind::request && message_.minor_version == 1 && message_.header("host").empty())
    fail(400, "no host header");
  bool interim = kind_ == Kind::response && message_.status < 200;
  body_bytes_ = 0;
  if (interim || (kind_ == Kind::response && (no_body_ || message_.status == 204 || message_.status == 304)))
    return message_done();
  if (chunked) state_ = State::chunk_size, head_bytes_ = 0;
  else if (sized && size > 0) state_ = State::sized, left_ = size;
  else if (sized || kind_ == Kind::request) message_done();
  else state_ = State::to_end, message_.keep_alive = false;
}

void Parser::chunk_size_line(std::string_view text) {
  std::string_view digits = trimmed(text.substr(0, text.find(';')));  // extensions are skipped
  auto given = base::parse_number<std::uint64_t>(digits, 16);
  if (!given || digits.size() > 16) fail(400, "not a chunk size");
  left_ = *given;
  state_ = left_ == 0 ? State::trailers : State::chunk;
  if (left_ > limits_.max_body_bytes) fail(413, "a chunk of " + std::to_string(left_) + " bytes");
}

std::size_t Parser::take_body(std::string_view bytes, std::size_t most) {
  bytes = bytes.substr(0, most);
  if (sink_.on_body(bytes)) return bytes.size();
  body_bytes_ += bytes.size();
  if (body_bytes_ > limits_.max_body_bytes)
    fail(413, "a body over " + std::to_string(limits_.max_body_bytes) + " bytes");
  message_.body += bytes;
  return bytes.size();
}

void Parser::message_done() {
  bool interim = kind_ == Kind::response && message_.status < 200;
  state_ = State::start;
  head_bytes_ = 0;
  Message whole = std::exchange(message_, {});
  if (!interim) sink_.on_message(std::move(whole));
}

std::string serialize(const Message& m) {
  std::string out;
  if (m.status != 0)
    out = fmt::format("HTTP/1.1 {} {}\r\n", m.status, m.reason.empty() ? reason_phrase(m.status) : m.reason);
  else out = fmt::format("{} {} HTTP/1.1\r\n", m.method, m.target);
  bool chunked = false;
  for (auto& [name, value] : m.headers) {
    out += fmt::format("{}: {}\r\n", name, value);
    chunked |= name == "transfer-encoding";
  }
  if (!chunked && (m.status != 0 || !m.body.empty()))
    out += fmt::format("content-length: {}\r\n", m.body.size());
  if (!m.keep_alive) out += "connection: close\r\n";
  return out + "\r\n" + m.body;
}

Message make_response(int status, std::string body, std::string_view type) {
  Message m;
  m.status = status;
  m.body = std::move(body);
  if (!m.body.empty()) m.headers.emplace_back("content-type", type);
  return m;
}

Message make_request(std::string method, std::string target, std::string body) {
  Message m;
  m.method = std::move(method);
  m.target = std::move(target);
  m.body = std::move(body);
  m.headers.emplace_back("host", "beamshunt");
  return m;
}

std::string encode_chunk(std::string_view data) { return fmt::format("{:x}\r\n{}\r\n", data.size(), data); }

}  // namespace beamshunt::http
