// TLS on byte buffers, implemented with OpenSSL. It performs no socket I/O. A Connection whose options
// contain a TlsContext uses it transparently.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

struct ssl_ctx_st;
struct ssl_st;

namespace beamshunt::net {

// Reports a TLS configuration error, an untrusted peer or a protocol failure.
class TlsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// TLS configuration of clients or of servers: the certificates to trust or the certificate to present. The
// minimum version is TLS 1.2.
class TlsContext {
 public:
  // Creates a client context. A peer must present a certificate for the expected name, signed by a
  // certificate in the PEM file `ca_file`, or by one that the system trusts if `ca_file` is empty. Throws
  // TlsError.
  static std::shared_ptr<const TlsContext> client(const std::string& ca_file);
  // Creates a server context from a certificate chain and a private key in PEM files. Throws TlsError.
  static std::shared_ptr<const TlsContext> server(const std::string& chain_file, const std::string& key_file);
  ~TlsContext();
  ssl_ctx_st* get() const { return context_; }
  bool is_server() const { return is_server_; }

 private:
  TlsContext(ssl_ctx_st* context, bool is_server) : context_(context), is_server_(is_server) {}
  ssl_ctx_st* context_;
  bool is_server_;
};

// TLS state of one connection. All member functions throw TlsError if the peer is not trusted or violates the
// TLS protocol.
class TlsEngine {
 public:
  // `name` is the host name or IP address that a client expects in the certificate of the server. Servers
  // ignore it.
  TlsEngine(std::shared_ptr<const TlsContext> context, const std::string& name);
  ~TlsEngine();
  TlsEngine(const TlsEngine&) = delete;
  TlsEngine& operator=(const TlsEngine&) = delete;

  // Starts the handshake of a client. It does nothing for a server.
  void start_handshake();
  // Processes bytes received from the peer. Returns the decrypted data.
  std::string decrypt(std::string_view ciphertext);
  // Encrypts data for the peer. Data is buffered until the handshake has completed.
  void encrypt(std::string_view plaintext);
  // Returns and removes the bytes that are ready to be sent to the peer.
  std::string drain_output();
  bool is_established() const { return established_; }

 private:
  void continue_handshake();
  void encrypt_pending();

  std::shared_ptr<const TlsContext> context_;
  ssl_st* ssl_;
  std::string pending_plaintext_;  // data to encrypt once the handshake has completed
  bool established_ = false;
};

}  // namespace beamshunt::net
