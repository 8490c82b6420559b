#include "net/tls.h"

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include "net/address.h"

namespace beamshunt::net {
namespace {

// Throws TlsError with the oldest error in the OpenSSL queue as the cause.
[[noreturn]] void throw_tls_error(const std::string& operation) {
  std::string cause;
  if (unsigned long code = ERR_get_error(); code != 0)
    cause = ERR_reason_error_string(code) ? ERR_reason_error_string(code) : "";
  ERR_clear_error();
  throw TlsError(cause.empty() ? operation : operation + ": " + cause);
}

ssl_ctx_st* make_context(const SSL_METHOD* method) {
  SSL_CTX* context = SSL_CTX_new(method);
  if (!context || SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION) != 1)
    throw_tls_error("cannot create a TLS context");
  return context;
}

}  // namespace

TlsContext::~TlsContext() { SSL_CTX_free(context_); }

std::shared_ptr<const TlsContext> TlsContext::client(const std::string& ca_file) {
  std::shared_ptr<const TlsContext> context(new TlsContext(make_context(TLS_client_method()), false));
  SSL_CTX_set_verify(context->get(), SSL_VERIFY_PEER, nullptr);
  if (ca_file.empty() ? SSL_CTX_set_default_verify_paths(context->get()) != 1
                      : SSL_CTX_load_verify_locations(context->get(), ca_file.c_str(), nullptr) != 1)
    throw_tls_error("cannot read the trusted certificates " + ca_file);
  return context;
}

std::shared_ptr<const TlsContext> TlsContext::server(const std::string& chain_file,
                                                     const std::string& key_file) {
  std::shared_ptr<const TlsContext> context(new TlsContext(make_context(TLS_server_method()), true));
  if (SSL_CTX_use_certificate_chain_file(context->get(), chain_file.c_str()) != 1)
    throw_tls_error("cannot read the certificate " + chain_file);
  if (SSL_CTX_use_PrivateKey_file(context->get(), key_file.c_str(), SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(context->get()) != 1)
    throw_tls_error("cannot use the private key " + key_file);
  return context;
}

TlsEngine::TlsEngine(std::shared_ptr<const TlsContext> context, const std::string& name)
    : context_(std::move(context)), ssl_(SSL_new(context_->get())) {
  if (!ssl_) throw_tls_error("cannot create a TLS connection");
  SSL_set_bio(ssl_, BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
  if (context_->is_server()) {
    SSL_set_accept_state(ssl_);
    return;
  }
  SSL_set_connect_state(ssl_);
  if (parse_ip(name)) {
    X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(ssl_), name.c_str());
  } else {
    SSL_set1_host(ssl_, name.c_str());
    SSL_set_tlsext_host_name(ssl_, name.c_str());
  }
}

TlsEngine::~TlsEngine() { SSL_free(ssl_); }

void TlsEngine::start_handshake() {
  if (!context_->is_server()) continue_handshake();
}

void TlsEngine::continue_handshake() {
  ERR_clear_error();
  int result = SSL_do_handshake(ssl_);
  if (result == 1) {
    established_ = true;
    return encrypt_pending();
  }
  int error = SSL_get_error(ssl_, result);
  if (error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE) return;
  long verify_result = SSL_get_verify_result(ssl_);
  if (verify_result != X509_V_OK)
    throw_tls_error(std::string("the peer's certificate is not trusted: ") +
                    X509_verify_cert_error_string(verify_result));
  throw_tls_error("the TLS handshake failed");
}

void TlsEngine::encrypt_pending() {
  if (!established_ || pending_plaintext_.empty()) return;
  std::size_t written = 0;
  if (SSL_write_ex(ssl_, pending_plaintext_.data(), pending_plaintext_.size(), &written) != 1)
    throw_tls_error("cannot encrypt data");
  pending_plaintext_.erase(0, written);
}

std::string TlsEngine::decrypt(std::string_view ciphertext) {
  std::string plaintext;
  while (!ciphertext.empty()) {
    int accepted = BIO_write(SSL_get_rbio(ssl_), ciphertext.data(),
                             static_cast<int>(std::min<std::size_t>(ciphertext.size(), 1 << 20)));
    if (accepted <= 0) throw_tls_error("cannot buffer received TLS data");
    ciphertext.remove_prefix(static_cast<std::size_t>(accepted));
  }
  if (!established_) continue_handshake();
  if (!established_) return plaintext;
  char block[16384];
  std::size_t size = 0;
  ERR_clear_error();
  while (SSL_read_ex(ssl_, block, sizeof block, &size) == 1) plaintext.append(block, size);
  int error = SSL_get_error(ssl_, 0);
  if (error != SSL_ERROR_WANT_READ && error != SSL_ERROR_ZERO_RETURN)
    throw_tls_error("cannot decrypt received data");
  return plaintext;
}

void TlsEngine::encrypt(std::string_view plaintext) {
  pending_plaintext_ += plaintext;
  encrypt_pending();
}

std::string TlsEngine::drain_output() {
  std::string output(BIO_ctrl_pending(SSL_get_wbio(ssl_)), '\0');
  if (!output.empty()) {
    int size = BIO_read(SSL_get_wbio(ssl_), output.data(), static_cast<int>(output.size()));
    output.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  }
  return output;
}

}  // namespace beamshunt::net
