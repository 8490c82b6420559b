// TLS between client and server on loopback: trusted, not trusted, another's name, no TLS at all.
#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <optional>

#include "http/server.h"

namespace beamshunt::http {
namespace {

// A self-signed certificate for an address, and its key, made anew for each run.
struct Identity {
  std::string chain, key;
  explicit Identity(const std::string& name, const std::string& san) {
    auto folder = std::filesystem::temp_directory_path() / ("beamshunt-tls-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    chain = (folder / (name + ".crt")).string(), key = (folder / (name + ".key")).string();
    EVP_PKEY* pair = EVP_EC_gen("P-256");
    X509* cert = X509_new();
    X509_set_version(cert, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(cert), 1);
    X509_gmtime_adj(X509_getm_notBefore(cert), -3600);
    X509_gmtime_adj(X509_getm_notAfter(cert), 3600);
    X509_set_pubkey(cert, pair);
    X509_NAME* subject = X509_get_subject_name(cert);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(cert, subject);
    for (auto& [id, value] :
         {std::pair{NID_subject_alt_name, san}, {NID_basic_constraints, std::string("CA:TRUE")}}) {
      X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, id, value.c_str());
      X509_add_ext(cert, extension, -1);
      X509_EXTENSION_free(extension);
    }
    X509_sign(cert, pair, EVP_sha256());
    auto write = [](const std::string& path, auto put) {
      std::FILE* file = std::fopen(path.c_str(), "w");
      put(file);
      std::fclose(file);
    };
    write(chain, [&](std::FILE* f) { PEM_write_X509(f, cert); });
    write(key, [&](std::FILE* f) { PEM_write_PrivateKey(f, pair, nullptr, nullptr, 0, nullptr, nullptr); });
    X509_free(cert);
    EVP_PKEY_free(pair);
  }
};

class TlsTest : public ::testing::Test {
 protected:
  Client::Result ask(Client& client, net::Address to, std::string body = {}) {
    std::optional<Client::Result> out;
    auto limit = reactor.call_at(reactor.now() + 10000, [&] { reactor.stop(); });
    client.send_request(to, make_request("POST", "/x", std::move(body)), 3000, [&](Client::Result&& a) {
      out = std::move(a);
      reactor.stop();
    });
    reactor.run();
    reactor.cancel_timer(limit);
    return out.value_or(Client::Result{.failure = Client::Failure::timed_out, .detail = "the test"});
  }
  std::unique_ptr<Server> serve(std::shared_ptr<const net::TlsContext> tls) {
    Server::Options options;
    options.tls = std::move(tls);
    return std::make_unique<Server>(
        reactor, net::Address{0x7f000001, 0},
        [](Message&& m, Responder r) { r.send(make_response(200, std::to_string(m.body.size()))); }, options);
  }
  net::Reactor reactor;
  Identity own{"own", "IP:127.0.0.1"}, other{"other", "IP:127.0.0.9"};
};

TEST_F(TlsTest, ATrustedServerIsSpokenToAndItsConnectionKept) {
  auto server = serve(net::TlsContext::server(own.chain, own.key));
  Client client(reactor, {.tls = net::TlsContext::client(own.chain), .tls_peer_name = "127.0.0.1"});
  auto big = ask(client, server->address(), std::string(1000000, 'x'));
  EXPECT_EQ(big.failure, Client::Failure::none) << big.detail;
  EXPECT_EQ(big.response.body, "1000000");
  EXPECT_FALSE(ask(client, server->address()).new_connection);
}

TEST_F(TlsTest, WhoIsNotTrustedOrNotByThatNameGetsNothing) {
  auto server = serve(net::TlsContext::server(own.chain, own.key));
  Client stranger(reactor, {.tls = net::TlsContext::client(other.chain), .tls_peer_name = "127.0.0.1"});
  auto a = ask(stranger, server->address());
  EXPECT_EQ(a.failure, Client::Failure::connect_failed);
  EXPECT_EQ(a.detail, "untrusted");
  auto misnamed = serve(net::TlsContext::server(other.chain, other.key));
  Client client(reactor, {.tls = net::TlsContext::client(other.chain), .tls_peer_name = "127.0.0.1"});
  EXPECT_EQ(ask(client, misnamed->address()).detail, "untrusted");
}

TEST_F(TlsTest, APlainServerAndAPlainClientAreToldApart) {
  auto plain = serve(nullptr);
  Client client(reactor, {.tls = net::TlsContext::client(own.chain), .tls_peer_name = "127.0.0.1"});
  EXPECT_NE(ask(client, plain->address()).failure, Client::Failure::none);
  auto server = serve(net::TlsContext::server(own.chain, own.key));
  Client bare(reactor, {});
  EXPECT_NE(ask(bare, server->address()).failure, Client::Failure::none);
}

TEST_F(TlsTest, MissingFilesAreNamed) {
  try {
    net::TlsContext::client("/nonexistent.pem");
    ADD_FAILURE();
  } catch (const net::TlsError& error) {
    EXPECT_NE(std::string(error.what()).find("/nonexistent.pem"), std::string::npos);
  }
  EXPECT_THROW(net::TlsContext::server(own.chain, other.key), net::TlsError);
}

}  // namespace
}  // namespace beamshunt::http
