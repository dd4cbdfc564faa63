#include "requests/conversation_queue.h"

#include <catch2/catch.hpp>

using namespace ivypier::requests;

TEST_CASE("requests of one conversation go one after another, in the order received", "[promise][promise-6]")
{
    conversation_queue queue;
    CHECK(queue.enqueue("c", "1"));
    CHECK_FALSE(queue.enqueue("c", "2"));
    CHECK_FALSE(queue.enqueue("c", "3"));
    CHECK(queue.enqueue("other", "4"));
    CHECK_FALSE(queue.dequeue("c", "2")); // gave up while it waited
    CHECK(queue.dequeue("c", "1") == "3");
    CHECK_FALSE(queue.dequeue("c", "3"));
    CHECK_FALSE(queue.contains("c"));
}

TEST_CASE("what another node hands over goes before what was received here", "[promise][promise-6]")
{
    conversation_queue queue;
    queue.hold("c");
    CHECK_FALSE(queue.enqueue("c", "new-1"));
    CHECK(queue.enqueueHandedOver("c", "old-1"));
    CHECK_FALSE(queue.enqueueHandedOver("c", "old-2"));
    CHECK(queue.dequeue("c", "old-1") == "old-2");
    CHECK_FALSE(queue.dequeue("c", "old-2")); // still held: more may come
    CHECK(queue.release("c") == "new-1");
    CHECK(queue.isFirst("c", "new-1"));
}

TEST_CASE("a release while handed requests run waits for them")
{
    conversation_queue queue;
    queue.hold("c");
    CHECK_FALSE(queue.enqueue("c", "new"));
    CHECK(queue.enqueueHandedOver("c", "old"));
    CHECK_FALSE(queue.release("c"));
    CHECK(queue.dequeue("c", "old") == "new");
}
