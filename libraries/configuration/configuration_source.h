#pragma once

#include "configuration/document.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace ivypier::configuration {

/// A document and the version under which it was accepted.
struct versioned_document
{
    std::uint64_t version = 0;
    document content;

    auto operator<=>(const versioned_document &) const = default;
};

/// What is in force at this node.
class configuration_source
{
public:
    virtual ~configuration_source() = default;

    /// The document in force, or null before the first one is known. Versions never go down.
    virtual std::shared_ptr<const versioned_document> current() const = 0;

    /// Calls `observer` after each change, as a task of the node's scheduler.
    virtual void onChange(std::function<void()> observer) = 0;
};

} // namespace ivypier::configuration
