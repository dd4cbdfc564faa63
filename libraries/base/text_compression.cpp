#include "base/text_compression.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace ivypier {

namespace {

/// The fastest level: long matches with the base save far more than a higher level does.
constexpr int compression_level = 1;
constexpr int min_window_log = 10;
constexpr int max_window_log = 27; ///< 128 MiB

/// Returns the logarithm of a window that holds base and text.
int windowLog(std::size_t bytes)
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), min_window_log, max_window_log);
}

error zstdError(std::size_t code)
{
    return {error_code::invalid_argument, std::string("zstd: ") + ZSTD_getErrorName(code)};
}

} // namespace

outcome<std::string> compressText(std::string_view text, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty()) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog(base.size() + text.size()));
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string result(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size
        = ZSTD_compress2(context.get(), result.data(), result.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0U)
        return zstdError(size);
    result.resize(size);
    return result;
}

outcome<std::string> decompressText(std::string_view compressed, std::string_view base, std::size_t maxBytes)
{
    const unsigned long long stated = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (stated == ZSTD_CONTENTSIZE_ERROR || stated == ZSTD_CONTENTSIZE_UNKNOWN)
        return error{error_code::invalid_argument, "zstd: the size of the text is not stated"};
    if (stated > maxBytes)
        return error{error_code::too_large, "zstd: a text of " + std::to_string(stated) + " bytes"};
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_log);
    if (!base.empty())
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string result(stated, '\0');
    const std::size_t size = ZSTD_decompressDCtx(context.get(), result.data(), result.size(),
                                                 compressed.data(), compressed.size());
    if (ZSTD_isError(size) != 0U)
        return zstdError(size);
    result.resize(size);
    return result;
}

} // namespace ivypier
