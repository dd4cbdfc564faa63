#include "certificate.h"

#include <cstdio>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <sstream>

namespace ivypier::scenarios {

namespace {

constexpr long seconds_per_day = 86'400;

struct openssl_deleter
{
    void operator()(EVP_PKEY *key) const
    {
        EVP_PKEY_free(key);
    }
    void operator()(X509 *certificate) const
    {
        X509_free(certificate);
    }
    void operator()(X509_EXTENSION *extension) const
    {
        X509_EXTENSION_free(extension);
    }
    void operator()(std::FILE *file) const
    {
        std::fclose(file);
    }
};

template <typename T>
using openssl_pointer = std::unique_ptr<T, openssl_deleter>;

bool addExtension(X509 *certificate, int extensionId, const std::string &value)
{
    const openssl_pointer<X509_EXTENSION> extension(
        X509V3_EXT_conf_nid(nullptr, nullptr, extensionId, value.c_str()));
    return extension && X509_add_ext(certificate, extension.get(), -1) == 1;
}

std::string alternativeNames(const std::string &addresses)
{
    std::istringstream list(addresses);
    std::string names;
    for (std::string each; std::getline(list, each, ',');)
        names += (names.empty() ? "IP:" : ",IP:") + each;
    return names;
}

} // namespace

bool writeCertificate(const std::string &addresses, const std::string &certificatePath,
                      const std::string &keyPath)
{
    const openssl_pointer<EVP_PKEY> key(EVP_EC_gen("P-256"));
    const openssl_pointer<X509> certificate(X509_new());
    X509_set_version(certificate.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), seconds_per_day);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME *name = X509_get_subject_name(certificate.get());
    const std::string text = "ivypier scenario";
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>(text.data()),
                               static_cast<int>(text.size()), -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    const bool extensionsAdded = addExtension(certificate.get(), NID_basic_constraints, "critical,CA:TRUE")
        && addExtension(certificate.get(), NID_subject_alt_name, alternativeNames(addresses));
    if (!key || !extensionsAdded || X509_sign(certificate.get(), key.get(), EVP_sha256()) == 0)
        return false;
    const openssl_pointer<std::FILE> certificateFile(std::fopen(certificatePath.c_str(), "w"));
    const openssl_pointer<std::FILE> keyFile(std::fopen(keyPath.c_str(), "w"));
    return certificateFile && keyFile && PEM_write_X509(certificateFile.get(), certificate.get()) == 1
        && PEM_write_PrivateKey(keyFile.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr) == 1;
}

} // namespace ivypier::scenarios
