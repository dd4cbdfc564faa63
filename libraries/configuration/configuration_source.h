#pragma once

#include "configuration/document.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace ivypier::configuration {

/// A document with the version under which it was accepted.
struct versioned_document
{
    std::uint64_t version = 0;
    document content;

    auto operator<=>(const versioned_document &) const = default;
};

/// Provides the configuration in force at this node.
class configuration_source
{
public:
    virtual ~configuration_source() = default;

    /// Returns the document in force, or null before the first one is applied. Versions never decrease.
    virtual std::shared_ptr<const versioned_document> current() const = 0;

    /// Registers `observer`, which runs after each change as a task of the node's scheduler.
    virtual void onChange(std::function<void()> observer) = 0;
};

} // namespace ivypier::configuration
