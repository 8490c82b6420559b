// HTTP/1.1 messages: parsing in arbitrary fragments, rejection of ambiguous messages, and size limits.
#include "http/message.h"

#include <gtest/gtest.h>

#include "seeded_random.h"

namespace beamshunt::http {
namespace {

struct CollectingSink : Parser::Sink {
  void on_message(Message&& message) override { messages.push_back(std::move(message)); }
  std::vector<Message> messages;
};

std::vector<Message> parse_in_fragments(Parser::Kind kind, std::string_view bytes, std::size_t fragment_bytes,
                                        Limits limits = {}) {
  CollectingSink sink;
  Parser parser(kind, sink, limits);
  for (std::size_t offset = 0; offset < bytes.size(); offset += fragment_bytes)
    parser.feed(bytes.substr(offset, fragment_bytes));
  if (!parser.between_messages()) parser.finish();
  return sink.messages;
}

// Returns the error status of a rejected request, or 0 if the request is accepted.
int rejection_status(std::string_view bytes, Limits limits = {}) {
  try {
    parse_in_fragments(Parser::Kind::request, bytes, bytes.size(), limits);
  } catch (const ParseError& error) {
    return error.status;
  }
  return 0;
}

TEST(HttpParser, ParsesPipelinedRequestsFromArbitraryFragments) {
  const std::string bytes =
      "\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n"
      "POST /b?c=d HTTP/1.1\r\nhost: x\r\nContent-Length: 5\r\nX-Odd:  spaced \t\r\n\r\nhello"
      "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4;ext=1\r\nwiki\r\nB\r\npedia, "
      "more\r\n0\r\nT: v\r\n\r\n"
      "GET /d HTTP/1.0\r\n\r\n";
  for (std::size_t fragment_bytes = 1; fragment_bytes < bytes.size();
       fragment_bytes += fragment_bytes < 20 ? 1 : 37) {
    auto messages = parse_in_fragments(Parser::Kind::request, bytes, fragment_bytes);
    ASSERT_EQ(messages.size(), 4u) << fragment_bytes;
    EXPECT_EQ(messages[0].target, "/a");
    EXPECT_EQ(messages[1].body, "hello");
    EXPECT_EQ(messages[1].header("x-odd"), "spaced");
    EXPECT_EQ(messages[2].body, "wikipedia, more");
    EXPECT_TRUE(messages[2].keep_alive);
    EXPECT_FALSE(messages[3].keep_alive);
  }
}

TEST(HttpParser, ParsesResponsesWithEachBodyDelimitation) {
  const std::string bytes =
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 204 No Content\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
      "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\nto the end";
  auto messages = parse_in_fragments(Parser::Kind::response, bytes, 3);
  ASSERT_EQ(messages.size(), 3u);
  EXPECT_EQ(messages[1].body, "ok");
  EXPECT_EQ(messages[2].status, 503);
  EXPECT_EQ(messages[2].body, "to the end");
}

TEST(HttpParser, RejectsAmbiguousAndMalformedRequests) {
  const std::string get = "GET / HTTP/1.1\r\nHost: x\r\n";
  EXPECT_EQ(rejection_status(get + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
  EXPECT_EQ(rejection_status(get + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n"), 400);
  EXPECT_EQ(rejection_status(get + "Content-Length: +3\r\n\r\nabc"), 400);
  EXPECT_EQ(rejection_status(get + "Content-Length: -3\r\n\r\nabc"), 400);
  EXPECT_EQ(rejection_status(get + "Transfer-Encoding: gzip, chunked\r\n\r\n"), 501);
  EXPECT_EQ(rejection_status(get + "X : y\r\n\r\n"), 400);
  EXPECT_EQ(rejection_status(get + " folded\r\n\r\n"), 400);
  EXPECT_EQ(rejection_status("GET / HTTP/1.1\nHost: x\n\n"), 400);
  EXPECT_EQ(rejection_status("GET / HTTP/1.1\r\n\r\n"), 400);
  EXPECT_EQ(rejection_status("GET / HTTP/2.0\r\n\r\n"), 505);
  EXPECT_EQ(rejection_status("GET  / HTTP/1.1\r\n\r\n"), 400);
  EXPECT_EQ(rejection_status("G(T / HTTP/1.1\r\n\r\n"), 400);
  EXPECT_EQ(rejection_status(get + "Transfer-Encoding: chunked\r\n\r\n-1\r\n"), 400);
  EXPECT_EQ(rejection_status(get + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n"), 400);
  EXPECT_EQ(rejection_status(get + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"), 400);
  EXPECT_EQ(rejection_status("GET / HTTP/1.1\r\nHost: x\r\nX: a\x01z\r\n\r\n"), 400);
}

TEST(HttpParser, EnforcesSizeLimits) {
  Limits limits{.max_line_bytes = 64, .max_head_bytes = 128, .max_headers = 3, .max_body_bytes = 10};
  EXPECT_EQ(rejection_status("GET /" + std::string(100, 'a') + " HTTP/1.1\r\n", limits), 400);
  EXPECT_EQ(rejection_status("GET / HTTP/1.1\r\nA: " + std::string(100, 'a'), limits), 431);
  EXPECT_EQ(rejection_status("GET / HTTP/1.1\r\nA: b\r\nA: b\r\nA: b\r\nA: b\r\n", limits), 431);
  EXPECT_EQ(rejection_status("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n", limits), 413);
  EXPECT_EQ(
      rejection_status(
          "GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n8\r\n12345678",
          limits),
      413);
}

TEST(HttpParser, MutatedRequestIsParsedOrRejected) {
  const std::string bytes =
      "POST /b HTTP/1.1\r\nhost: x\r\nContent-Length: 5\r\n\r\nhello"
      "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwiki\r\n0\r\n\r\n";
  test::SeededRandom random(3);
  for (int iteration = 0; iteration < 20000; ++iteration) {
    std::string mutated = bytes;
    for (std::size_t k = 0; k <= random(4); ++k) {
      std::size_t position = random(mutated.size());
      if (random(2)) mutated[position] = static_cast<char>(random(256));
      else mutated.erase(position, random(5));
    }
    CollectingSink sink;
    Parser parser(random(2) ? Parser::Kind::request : Parser::Kind::response, sink, {.max_body_bytes = 100});
    try {
      for (std::size_t offset = 0, fragment_bytes = 1 + random(50); offset < mutated.size();
           offset += fragment_bytes)
        parser.feed(std::string_view(mutated).substr(offset, fragment_bytes));
      parser.finish();
    } catch (const ParseError& error) {
      EXPECT_LE(error.offset, mutated.size());
    }
    for (auto& message : sink.messages) EXPECT_LE(message.body.size(), 100u);
  }
}

TEST(HttpMessage, SerializedMessageCanBeParsed) {
  auto requests = parse_in_fragments(Parser::Kind::request, serialize(make_request("POST", "/x", "body")), 5);
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].body, "body");
  auto responses = parse_in_fragments(Parser::Kind::response, serialize(make_response(404, "no")), 5);
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses[0].reason, "Not Found");
}

}  // namespace
}  // namespace beamshunt::http
