// HTTP/1.1 messages: however the bytes are cut, and every second reading of them refused.
#include "http/message.h"

#include <gtest/gtest.h>

#include "seeded_random.h"

namespace beamshunt::http {
namespace {

struct Collect : Parser::Sink {
  void on_message(Message&& m) override { messages.push_back(std::move(m)); }
  std::vector<Message> messages;
};

std::vector<Message> parsed(Parser::Kind kind, std::string_view bytes, std::size_t step, Limits limits = {}) {
  Collect sink;
  Parser parser(kind, sink, limits);
  for (std::size_t k = 0; k < bytes.size(); k += step) parser.feed(bytes.substr(k, step));
  if (!parser.between_messages()) parser.finish();
  return sink.messages;
}

int refusal(std::string_view bytes, Limits limits = {}) {
  try {
    parsed(Parser::Kind::request, bytes, bytes.size(), limits);
  } catch (const ParseError& error) {
    return error.status;
  }
  return 0;
}

TEST(HttpParser, PipelinedRequestsHoweverTheyAreCut) {
  const std::string bytes =
      "\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n"
      "POST /b?c=d HTTP/1.1\r\nhost: x\r\nContent-Length: 5\r\nX-Odd:  spaced \t\r\n\r\nhello"
      "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4;ext=1\r\nwiki\r\nB\r\npedia, "
      "more\r\n0\r\nT: v\r\n\r\n"
      "GET /d HTTP/1.0\r\n\r\n";
  for (std::size_t step = 1; step < bytes.size(); step += step < 20 ? 1 : 37) {
    auto all = parsed(Parser::Kind::request, bytes, step);
    ASSERT_EQ(all.size(), 4u) << step;
    EXPECT_EQ(all[0].target, "/a");
    EXPECT_EQ(all[1].body, "hello");
    EXPECT_EQ(all[1].header("x-odd"), "spaced");
    EXPECT_EQ(all[2].body, "wikipedia, more");
    EXPECT_TRUE(all[2].keep_alive);
    EXPECT_FALSE(all[3].keep_alive);
  }
}

TEST(HttpParser, ResponsesWithEveryKindOfBody) {
  const std::string bytes =
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 204 No Content\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
      "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\nto the end";
  auto all = parsed(Parser::Kind::response, bytes, 3);
  ASSERT_EQ(all.size(), 3u);
  EXPECT_EQ(all[1].body, "ok");
  EXPECT_EQ(all[2].status, 503);
  EXPECT_EQ(all[2].body, "to the end");
}

TEST(HttpParser, WhatCouldBeReadInTwoWaysIsRefused) {
  const std::string get = "GET / HTTP/1.1\r\nHost: x\r\n";
  EXPECT_EQ(refusal(get + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
  EXPECT_EQ(refusal(get + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n"), 400);
  EXPECT_EQ(refusal(get + "Content-Length: +3\r\n\r\nabc"), 400);
  EXPECT_EQ(refusal(get + "Content-Length: -3\r\n\r\nabc"), 400);
  EXPECT_EQ(refusal(get + "Transfer-Encoding: gzip, chunked\r\n\r\n"), 501);
  EXPECT_EQ(refusal(get + "X : y\r\n\r\n"), 400);
  EXPECT_EQ(refusal(get + " folded\r\n\r\n"), 400);
  EXPECT_EQ(refusal("GET / HTTP/1.1\nHost: x\n\n"), 400);
  EXPECT_EQ(refusal("GET / HTTP/1.1\r\n\r\n"), 400);
  EXPECT_EQ(refusal("GET / HTTP/2.0\r\n\r\n"), 505);
  EXPECT_EQ(refusal("GET  / HTTP/1.1\r\n\r\n"), 400);
  EXPECT_EQ(refusal("G(T / HTTP/1.1\r\n\r\n"), 400);
  EXPECT_EQ(refusal(get + "Transfer-Encoding: chunked\r\n\r\n-1\r\n"), 400);
  EXPECT_EQ(refusal(get + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n"), 400);
  EXPECT_EQ(refusal(get + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"), 400);
  EXPECT_EQ(refusal("GET / HTTP/1.1\r\nHost: x\r\nX: a\x01z\r\n\r\n"), 400);
}

TEST(HttpParser, EveryPartIsBounded) {
  Limits tight{.max_line_bytes = 64, .max_head_bytes = 128, .max_headers = 3, .max_body_bytes = 10};
  EXPECT_EQ(refusal("GET /" + std::string(100, 'a') + " HTTP/1.1\r\n", tight), 400);
  EXPECT_EQ(refusal("GET / HTTP/1.1\r\nA: " + std::string(100, 'a'), tight), 431);
  EXPECT_EQ(refusal("GET / HTTP/1.1\r\nA: b\r\nA: b\r\nA: b\r\nA: b\r\n", tight), 431);
  EXPECT_EQ(refusal("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n", tight), 413);
  EXPECT_EQ(
      refusal("GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n8\r\n12345678",
              tight),
      413);
}

TEST(HttpParser, MutatedRequestsAreParsedOrRefused) {
  const std::string bytes =
      "POST /b HTTP/1.1\r\nhost: x\r\nContent-Length: 5\r\n\r\nhello"
      "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwiki\r\n0\r\n\r\n";
  test::SeededRandom draw(3);
  for (int round = 0; round < 20000; ++round) {
    std::string mutated = bytes;
    for (std::size_t k = 0; k <= draw(4); ++k) {
      std::size_t at = draw(mutated.size());
      if (draw(2)) mutated[at] = static_cast<char>(draw(256));
      else mutated.erase(at, draw(5));
    }
    Collect sink;
    Parser parser(draw(2) ? Parser::Kind::request : Parser::Kind::response, sink, {.max_body_bytes = 100});
    try {
      for (std::size_t k = 0, step = 1 + draw(50); k < mutated.size(); k += step)
        parser.feed(std::string_view(mutated).substr(k, step));
      parser.finish();
    } catch (const ParseError& error) {
      EXPECT_LE(error.offset, mutated.size());
    }
    for (auto& m : sink.messages) EXPECT_LE(m.body.size(), 100u);
  }
}

TEST(HttpMessage, SerializedMessagesParse) {
  auto whole = parsed(Parser::Kind::request, serialize(make_request("POST", "/x", "body")), 5);
  ASSERT_EQ(whole.size(), 1u);
  EXPECT_EQ(whole[0].body, "body");
  auto answer = parsed(Parser::Kind::response, serialize(make_response(404, "no")), 5);
  ASSERT_EQ(answer.size(), 1u);
  EXPECT_EQ(answer[0].reason, "Not Found");
}

}  // namespace
}  // namespace beamshunt::http
