#include "main/ctl/certificates.hpp"

#include <cstdio>
#include <filesystem>
#include <memory>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>

namespace poplarroute::main::ctl
{

namespace
{

constexpr long seconds_per_day = 86'400;
constexpr long x509_version_3 = 2;
constexpr mode_t private_key_umask = 0177;

using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using certificate_ptr = std::unique_ptr<X509, decltype(&X509_free)>;
using file_ptr = std::unique_ptr<FILE, decltype(&std::fclose)>;

/// A certificate with its private key.
struct certificate_with_key
{
    key_ptr key_{nullptr, EVP_PKEY_free};
    certificate_ptr certificate_{nullptr, X509_free};
};

void set_common_name(X509_NAME* name, const std::string& text)
{
    X509_NAME_add_entry_by_txt(
        name,
        "CN",
        MBSTRING_UTF8,
        reinterpret_cast<const unsigned char*>(text.data()),
        static_cast<int>(text.size()),
        -1,
        0);
}

void add_extension(X509* certificate, int extension_nid, const char* value)
{
    X509_EXTENSION* extension =
        X509V3_EXT_conf_nid(nullptr, nullptr, extension_nid, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

/// Creates a key pair and a certificate for it.
/// \param issuer signs the certificate; null for a certificate authority, whose
/// certificate is self-signed.
/// \param days validity in days.
certificate_with_key issue_certificate(
    const std::string& name, const certificate_with_key* issuer, int days)
{
    certificate_with_key issued;
    issued.key_.reset(EVP_EC_gen("P-256"));
    issued.certificate_.reset(X509_new());
    X509* certificate = issued.certificate_.get();
    X509_set_version(certificate, x509_version_3);
    std::uint64_t serial = 0;
    RAND_bytes(reinterpret_cast<unsigned char*>(&serial), sizeof(serial));
    ASN1_INTEGER_set_uint64(X509_get_serialNumber(certificate), serial >> 1U);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -seconds_per_day);
    X509_gmtime_adj(X509_getm_notAfter(certificate), seconds_per_day * days);
    X509_set_pubkey(certificate, issued.key_.get());
    set_common_name(X509_get_subject_name(certificate), name);
    const certificate_with_key& signer = issuer == nullptr ? issued : *issuer;
    X509_set_issuer_name(
        certificate, X509_get_subject_name(signer.certificate_.get()));
    add_extension(
        certificate,
        NID_basic_constraints,
        issuer == nullptr ? "critical,CA:TRUE" : "critical,CA:FALSE");
    X509_sign(certificate, signer.key_.get(), EVP_sha256());
    return issued;
}

core::result<core::done> write_certificate(
    const std::string& folder,
    const std::string& name,
    const certificate_with_key& issued)
{
    const std::string key_path = folder + "/" + name + ".key";
    const std::string certificate_path = folder + "/" + name + ".pem";
    const mode_t previous_umask = ::umask(private_key_umask);
    const file_ptr key(std::fopen(key_path.c_str(), "w"), std::fclose);
    ::umask(previous_umask);
    const file_ptr certificate(
        std::fopen(certificate_path.c_str(), "w"), std::fclose);
    const bool written =
        key && certificate &&
        PEM_write_PrivateKey(
            key.get(),
            issued.key_.get(),
            nullptr,
            nullptr,
            0,
            nullptr,
            nullptr) == 1 &&
        PEM_write_X509(certificate.get(), issued.certificate_.get()) == 1;
    if (!written)
    {
        return core::error{core::errc::storage, "cannot write " + key_path};
    }
    return core::done();
}

} // namespace

core::result<core::done> make_certificates(
    const std::string& folder,
    const std::vector<std::string>& hosts,
    const std::string& operator_name,
    int days)
{
    std::error_code ignored;
    std::filesystem::create_directories(folder, ignored);
    const certificate_with_key authority =
        issue_certificate("authority:poplarroute", nullptr, days);
    core::result<core::done> written =
        write_certificate(folder, "authority", authority);
    for (const std::string& host : hosts)
    {
        if (core::is_ok(written))
        {
            written = write_certificate(
                folder,
                host,
                issue_certificate("host:" + host, &authority, days));
        }
    }
    if (core::is_ok(written))
    {
        written = write_certificate(
            folder,
            "operator",
            issue_certificate("operator:" + operator_name, &authority, days));
    }
    return written;
}

} // namespace poplarroute::main::ctl
