#include "requests/conversation_queue.h"

#include <catch2/catch.hpp>

using namespace ivypier::requests;

TEST_CASE("requests of one conversation run one at a time, in the order received", "[promise][promise-6]")
{
    conversation_queue queue;
    CHECK(queue.enqueue("c", "1"));
    CHECK_FALSE(queue.enqueue("c", "2"));
    CHECK_FALSE(queue.enqueue("c", "3"));
    CHECK(queue.enqueue("other", "4"));
    CHECK_FALSE(queue.dequeue("c", "2")); // cancelled while it was waiting
    CHECK(queue.dequeue("c", "1") == "3");
    CHECK_FALSE(queue.dequeue("c", "3"));
    CHECK_FALSE(queue.contains("c"));
}

TEST_CASE("requests handed over by another node run before those received by this node",
          "[promise][promise-6]")
{
    conversation_queue queue;
    queue.hold("c");
    CHECK_FALSE(queue.enqueue("c", "new-1"));
    CHECK(queue.enqueueHandedOver("c", "old-1"));
    CHECK_FALSE(queue.enqueueHandedOver("c", "old-2"));
    CHECK(queue.dequeue("c", "old-1") == "old-2");
    CHECK_FALSE(queue.dequeue("c", "old-2")); // still held: more requests may be handed over
    CHECK(queue.release("c") == "new-1");
    CHECK(queue.isFirst("c", "new-1"));
}

TEST_CASE("after a release, received requests wait for the handed-over ones that are running")
{
    conversation_queue queue;
    queue.hold("c");
    CHECK_FALSE(queue.enqueue("c", "new"));
    CHECK(queue.enqueueHandedOver("c", "old"));
    CHECK_FALSE(queue.release("c"));
    CHECK(queue.dequeue("c", "old") == "new");
}
