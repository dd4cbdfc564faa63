#include "event_loop_thread.h"
#include "http/connection_pool.h"
#include "http/listener.h"
#include "http/tls_stream.h"
#include "loopback.h"

#include <catch2/catch.hpp>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <cstdio>
#include <filesystem>
#include <future>
#include <unistd.h>

using namespace ivypier;
using namespace std::chrono_literals;

namespace {

/// A private key and a certificate for it that signs itself, as files.
class self_signed_certificate
{
public:
    self_signed_certificate()
        : m_folder(std::filesystem::temp_directory_path() / ("ivypier-tls-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_folder);
        constexpr int key_bits = 2048;
        constexpr long lifetime_seconds = 3600;
        EVP_PKEY *key = EVP_RSA_gen(key_bits);
        X509 *certificate = X509_new();
        ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
        X509_gmtime_adj(X509_getm_notAfter(certificate), lifetime_seconds);
        X509_set_pubkey(certificate, key);
        X509_NAME *name = X509_get_subject_name(certificate);
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>("test"),
                                   -1, -1, 0);
        X509_set_issuer_name(certificate, name);
        X509_sign(certificate, key, EVP_sha256());
        FILE *keyFile = std::fopen(files().privateKey.c_str(), "w");
        PEM_write_PrivateKey(keyFile, key, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(keyFile);
        FILE *certificateFile = std::fopen(files().certificate.c_str(), "w");
        PEM_write_X509(certificateFile, certificate);
        std::fclose(certificateFile);
        X509_free(certificate);
        EVP_PKEY_free(key);
    }
    ~self_signed_certificate()
    {
        std::filesystem::remove_all(m_folder);
    }
    self_signed_certificate(const self_signed_certificate &) = delete;
    self_signed_certificate &operator=(const self_signed_certificate &) = delete;

    http::tls_files files() const
    {
        return {m_folder / "certificate.pem", m_folder / "key.pem"};
    }

private:
    std::filesystem::path m_folder;
};

class end_observer final : public http::exchange_observer
{
public:
    void onHead(http::response_head) override
    {
    }
    void onBody(std::string_view data) override
    {
        body.append(data);
    }
    void onEnd() override
    {
        ended.set_value(true);
    }
    void onFailed(const http::exchange_failure &) override
    {
        ended.set_value(false);
    }

    std::string body;
    std::promise<bool> ended;
};

} // namespace

// Guards against a TLS connection that was cut, taken for the end of a response without a length.
TEST_CASE("a response over TLS that ends with its connection is complete only after close_notify")
{
    const bool isWhole = GENERATE(true, false);
    const self_signed_certificate certificate;
    const endpoint address = loopbackAddress(136, 9001);
    event_loop_thread thread;
    const auto serverStreams = http::makeTlsServerStreams(certificate.files());
    REQUIRE(serverStreams);
    auto server = thread.run([&] {
        return std::move(http::listener::open(
                             thread.loop, address, {},
                             [isWhole](const auto &, const std::shared_ptr<http::reply> &replyWriter) {
                                 replyWriter->begin(200, {});
                                 replyWriter->write("part");
                                 if (isWhole)
                                     replyWriter->finish();
                             },
                             serverStreams.value())
                             .value());
    });
    auto pool = thread.run([&] {
        return std::make_unique<http::connection_pool>(
            thread.loop, http::makeTlsClientStreams(certificate.files().certificate));
    });
    end_observer observer;
    auto exchange = thread.run(
        [&] { return pool->start(address, "GET /x HTTP/1.0\r\nHost: a\r\n\r\n", {}, observer); });
    std::future<bool> ended = observer.ended.get_future();
    REQUIRE(ended.wait_for(10s) == std::future_status::ready);
    CHECK(ended.get() == isWhole);
    CHECK((observer.body == "part" || !isWhole));
    thread.run([&] {
        exchange.reset();
        pool.reset();
        server.reset();
    });
}
