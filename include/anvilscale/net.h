// Network library: event loop, HTTP server and client, model call bodies, and messaging over ZeroMQ.
#pragma once

#include "wire.pb.h"

#include "anvilscale/base.h"
#include "anvilscale/memory_account.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Poco::Net { // NOLINT(readability-identifier-naming): POCO's name
class Socket;
}

namespace anvilscale {

// ---- addresses

/// Why a text is not an address.
enum class AddressErrorKind : std::uint8_t {
    NotIpv4, ///< no dotted IPv4 address before the first colon
    BadPort, ///< no decimal number from 1 to 65535 after it
    Unspecified, ///< in 0.0.0.0/8
    NotUnicast, ///< a multicast, reserved or broadcast address
    BadScheme, ///< a URL that does not begin with "http://"
    Count
};
template<>
struct EnumNames<AddressErrorKind>
{
    static constexpr std::array<std::string_view, enumCount<AddressErrorKind>> table{
        "not_ipv4", "bad_port", "unspecified", "not_unicast", "bad_scheme"};
};

/// IPv4 address and port of another process. Text of other programs is parsed once, where it is read, so that code that
/// makes connections has no text that it could fail on.
class NetAddress
{
public:
    /// The null address, to which no connection can be made.
    NetAddress() = default;
    /// Parses "IP:PORT".
    static tl::expected<NetAddress, AddressErrorKind> parse(std::string_view text);
    /// Parses "http://IP:PORT", with or without a final slash.
    static tl::expected<NetAddress, AddressErrorKind> parseUrl(std::string_view url);
    NetAddress withPort(std::uint16_t port) const;
    /// In host byte order.
    std::uint32_t ip() const
    {
        return ip_;
    }
    std::uint16_t port() const
    {
        return port_;
    }
    bool isLoopback() const;
    /// Returns "IP:PORT"; equal addresses have equal texts.
    std::string text() const;
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the 0 in a rewritten comparison for a pointer
    auto operator<=>(const NetAddress &) const = default;

private:
    // Invariant: both are 0, or neither is and the address is unicast.
    std::uint32_t ip_ = 0;
    std::uint16_t port_ = 0;
};

// ---- event loop

/// A thread that waits for sockets, timers and posted tasks. All callbacks run on this thread.
class EventLoop
{
public:
    using Task = std::function<void()>;
    /// `modes` is a set of Poco::Net::PollSet modes.
    using ReadyHandler = std::function<void(int modes)>;

    /// Starts the thread.
    explicit EventLoop(const std::string &name);
    /// Stops the thread.
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs `task` on the loop's thread, after the tasks posted before it and the sockets that are ready. Callable
    /// from any thread.
    void post(Task task);
    /// Runs the tasks posted so far, ends the loop and joins its thread. Must not be called on the loop's thread.
    void stop();

    // The functions below must be called on the loop's thread.
    /// Calls `handler` whenever the socket is ready for one of `modes`. 0 registers the socket without waiting for
    /// it.
    void watch(const Poco::Net::Socket &socket, int modes, ReadyHandler handler);
    void update(const Poco::Net::Socket &socket, int modes);
    /// Unregisters the socket. Must be called before the socket is closed.
    void unwatch(const Poco::Net::Socket &socket);
    TimerService &timers();
    static TimePoint now();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Writes as many bytes as possible without blocking. Returns the number written (0 if the send buffer is full), or
/// nullopt if the connection is broken. POCO's own call throws the same exception in both cases.
std::optional<std::size_t> trySend(const Poco::Net::Socket &socket, std::string_view data);

/// Makes close() reset the connection, which discards what is queued in the kernel.
void resetOnClose(Poco::Net::Socket &socket);

/// Reads the monotonic and the wall clock of the operating system. For daemons and tests with real processes only.
Now readClocks();

// ---- HTTP

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of a header, matched case-insensitively; nullptr if it is absent.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);
/// Returns the options that the Connection headers list, in lower case: "close", "keep-alive" and names of headers that
/// are hop-by-hop too.
std::set<std::string> connectionOptions(const HttpHeaders &headers);
/// True for hop-by-hop headers, which are never forwarded.
bool isHopByHop(std::string_view name);

/// Why an HTTP message was rejected.
enum class HttpError : std::uint8_t {
    None,
    BadHead,
    HeadTooLarge,
    BadBody, ///< invalid framing
    BodyTooLarge,
    UnsupportedEncoding, ///< a Transfer-Encoding other than chunked
    ExpectationFailed,
    HeadTimeout,
    BodyTimeout,
    ConnectionLimit,
    MemoryShort, ///< no room for the body came free in time
    BodyOverMemory, ///< the body can never get room
    Count
};
template<>
struct EnumNames<HttpError>
{
    static constexpr std::array<std::string_view, enumCount<HttpError>> table{"none",
                                                                              "bad_head",
                                                                              "head_too_large",
                                                                              "bad_body",
                                                                              "body_too_large",
                                                                              "unsupported_encoding",
                                                                              "expectation_failed",
                                                                              "head_timeout",
                                                                              "body_timeout",
                                                                              "connection_limit",
                                                                              "memory_short",
                                                                              "body_over_memory"};
};

/// Status code of the response to a message rejected for this reason.
std::uint32_t statusOf(HttpError reason);

/// Incremental parser of a message body that is framed by its length, in chunks, or by the end of the connection.
class HttpBodyReader
{
public:
    enum class Framing : std::uint8_t {
        Length,
        Chunked,
        UntilClose,
        Count
    };
    HttpBodyReader() = default;
    HttpBodyReader(Framing framing, std::uint64_t length);
    /// Appends body bytes from `in` to `out`. Returns the number of bytes of `in` that were consumed.
    std::size_t read(std::string_view in, std::string &out);
    bool isDone() const;
    bool isBroken() const;
    Framing framing() const;
    /// Bytes that are still to come of a body with a length, or of the current chunk.
    std::uint64_t remainingBytes() const;

private:
    enum class Step : std::uint8_t {
        Size,
        Data,
        DataEnd,
        Trailer,
        Done,
        Broken
    };
    std::size_t readLine(std::string_view in);
    void processLine();
    void processTrailer();

    Framing framing_ = Framing::Length;
    Step step_ = Step::Done;
    std::uint64_t remainingBytes_ = 0; // of the body or the current chunk
    std::string line_; // partial chunk size or trailer line
    std::size_t trailerBytes_ = 0;
};

/// Incremental parser of the bounds of events in an event stream, whose lines end with LF, CR or CRLF.
class EventBounds
{
public:
    void read(std::string_view data);
    /// True between the first byte of an event and the empty line that ends it. A complete comment line is no event.
    bool isInsideEvent() const;
    /// True once an event has ended.
    bool hasEvent() const;

private:
    void endLine();

    bool isLineEmpty_ = true;
    bool isComment_ = false; // the current line
    bool hasFields_ = false; // complete lines of the current event
    bool hasEvent_ = false;
    bool followsReturn_ = false; // the last byte was a CR, so that a LF belongs to the same line end
};

/// True for a response whose body is an event stream.
bool isEventStream(const HttpHeaders &headers);

/// A request. `body` is filled once it has been received completely.
struct HttpRequestData
{
    std::string method;
    std::string target; ///< path and query, unmodified
    HttpHeaders headers;
    std::string body;
    bool keepAlive = true;
    bool acceptsChunked = true; ///< true for HTTP/1.1 requests
    MemoryHold bodyRoom; ///< covers `body`
    MemoryHold headRoom; ///< covers `headers` of an unusually large number
};

/// A body with its room, shared by all that may still send it.
class SharedBody
{
public:
    SharedBody() = default;
    SharedBody(std::string text, MemoryHold room);
    std::string_view text() const;

private:
    struct Body;
    std::shared_ptr<const Body> body_;
};

struct HttpResponseHead
{
    std::uint32_t status = 0;
    HttpHeaders headers;
    bool keepAlive = true;
    bool isOnReusedConnection = false; ///< set by HttpClient: earlier responses were received on the connection
    HttpBodyReader body;
};

/// Parses a complete head, including the final empty line. Rejects ambiguous heads, which allow request smuggling.
tl::expected<std::pair<HttpRequestData, HttpBodyReader>, HttpError> parseRequestHead(std::string_view head,
                                                                                     std::uint64_t maxBodyBytes);
/// Parses a complete head of an HTTP/1 response. Rejects ambiguous heads and those whose status is not from 100 to 599.
/// `isHeadRequest`: the response to a HEAD request, which has no body.
tl::expected<HttpResponseHead, HttpError> parseResponseHead(std::string_view head, bool isHeadRequest);
/// Formats the head of a request with a body of `bodyBytes` bytes.
std::string formatRequestHead(std::string_view method, std::string_view target, std::string_view host,
                              const HttpHeaders &headers, std::size_t bodyBytes, bool keepAlive);
/// Returns the length in bytes of the first head in `buffer`, including its empty line; 0 if it is incomplete.
std::size_t headLength(std::string_view buffer);

/// Identifies one request on a caller's connection; 0 if none.
using HttpExchange = Handle<struct HttpExchangeTag>;

/// A complete response.
struct HttpReply
{
    std::uint32_t status = 200;
    HttpHeaders headers;
    std::string body;
    bool closesConnection = false;
};

enum class NetErrorKind : std::uint8_t {
    BadAddress,
    AddressInUse,
    NotPermitted,
    Failed,
    Count
};
template<>
struct EnumNames<NetErrorKind>
{
    static constexpr std::array<std::string_view, enumCount<NetErrorKind>> table{"bad_address", "address_in_use",
                                                                                 "not_permitted", "failed"};
};
struct NetError
{
    NetErrorKind kind = NetErrorKind::Failed;
    std::string address;
    std::string detail; ///< human-readable description
};

struct HttpServerInit
{
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t threads = 1;
    std::uint32_t maxHeadBytes = 16U << 10;
    std::uint64_t maxBodyBytes = 4U << 20;
    std::uint32_t maxConnections = 1024;
    Duration headTimeout = Seconds(10);
    Duration bodyTimeout = Seconds(30);
    Duration idleTimeout = Seconds(60); ///< of a keep-alive connection without a request
    Duration writeTimeout = Seconds(10); ///< a connection that accepts no bytes for this long is closed
    Duration roomTimeout = Milliseconds(500); ///< a body that has got no room for this long is refused
    std::shared_ptr<MemoryAccount> memory; ///< of all that is held for callers; an unlimited one if null
    std::size_t maxHeldBytes = 32U << 10; ///< of a non-streamed response, buffered until it is known to be complete
};

struct HttpServerStats
{
    Counters<HttpError> errors;
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t slowReadersCut = 0;
    std::uint64_t acceptsWithoutDescriptor = 0; ///< connections that came when no descriptor was free for them
    std::uint32_t openConnections = 0;
};

/// HTTP/1.1 server that multiplexes its connections over a few threads. Requests of a connection are dispatched one
/// at a time, in order; pipelined requests wait in a bounded buffer. The memory of a connection is bounded by the
/// limits and by the data its handler sends before bytesSent confirms it.
class HttpServer
{
public:
    struct Handlers
    {
        /// A complete request. Called on a traffic thread.
        std::function<void(HttpExchange, HttpRequestData)> request;
        /// The caller disconnected, or was disconnected, before its response ended. Called on a traffic thread.
        std::function<void(HttpExchange, FailureReason)> disconnected;
        /// `bytes` more of the body were written to the caller's connection. Called on a traffic thread.
        std::function<void(HttpExchange, std::uint64_t bytes)> bytesSent;
        /// Returns the response to a rejected message.
        std::function<HttpReply(HttpError)> errorReply;
        /// Returns who shares the room of the request's body. May be empty: the bodies then have no groups.
        std::function<MemoryAccount::Group(const HttpRequestData &)> bodyGroup;
    };

    static tl::expected<std::unique_ptr<HttpServer>, NetError> create(HttpServerInit init, Handlers handlers);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;
    /// Starts accepting connections. Separate from create(), so that no request arrives before all parts are set up.
    void start();
    /// Closes each connection after its next response; the listener stays open. First step of a drain: serves callers
    /// that the load balancer still routes here.
    void closeAfterAnswers();
    /// Closes the listener and all idle connections; exchanges in progress continue. Calls `onDrained` once no
    /// connection is open.
    void drain(std::function<void()> onDrained);
    void shutdown();

    // Callable from any thread. Calls for an exchange that has ended are ignored.
    void reply(HttpExchange exchange, HttpReply reply);
    /// Starts a response that is sent in parts. An event stream is forwarded in complete events.
    void begin(HttpExchange exchange, std::uint32_t status, HttpHeaders headers);
    void send(HttpExchange exchange, std::string data);
    void finish(HttpExchange exchange);
    /// Ends the response with an error: sends `reply` if nothing has been sent yet, otherwise an error event with the
    /// same body on an event stream, otherwise closes the connection.
    void fail(HttpExchange exchange, HttpReply reply);
    /// Ends a response that cannot be completed: sends `reply` if nothing has been sent yet, otherwise closes the
    /// connection, so that the caller cannot accept the truncated response as complete.
    void cut(HttpExchange exchange, HttpReply reply);
    /// True if the caller has closed or reset its connection, also if that has not been read yet. Thread of the
    /// exchange only.
    bool hasCallerLeft(HttpExchange exchange) const;
    /// Sets the limits for everything read from now on.
    void updateLimits(std::uint32_t maxHeadBytes, std::uint64_t maxBodyBytes, Duration headTimeout,
                      Duration idleTimeout);
    MemoryAccount &memory();
    /// Event loop of the first traffic thread, for HTTP clients that serve the same calls.
    EventLoop &loop();

    HttpServerStats stats() const;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

// ---- HTTP client

/// A request to an endpoint or to the platform.
struct EndpointRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::string host; ///< the address it is sent to if empty
    HttpHeaders headers;
    std::string body;
    SharedBody sharedBody; ///< sent after `body`
    bool needsNewConnection = false; ///< never reuses an idle connection, which the endpoint may be closing
    /// Maximum size of the response body; a longer one ends the exchange as TooLarge. 0: the handlers bound what they
    /// keep.
    std::uint64_t maxAnswerBytes = 0;
};

/// Outcome of an exchange with an endpoint.
enum class ExchangeEnd : std::uint8_t {
    Complete,
    Truncated, ///< an event stream that is complete by its framing, but ended inside an event or without any
    Unreachable, ///< connection refused or not established: no byte was sent
    Broken, ///< bytes may have been sent; the response is incomplete
    TooLarge, ///< the response is longer than the request allows; the connection was reset
    CancelConfirmed, ///< after a cancel the endpoint closed its side or ended its response
    CancelUnconfirmed,
    Count
};

using ExchangeId = std::uint64_t;

/// Callbacks of one exchange. They may cancel, pause or start exchanges.
struct ExchangeHandlers
{
    std::function<void()> connected; ///< a new connection is established; the first byte is sent after it
    std::function<void(const HttpResponseHead &)> head;
    std::function<void(std::string)> data;
    std::function<void(ExchangeEnd)> end; ///< always the last callback
};

struct HttpClientInit
{
    NetAddress address;
    Duration connectTimeout{};
    Duration cancelGrace{};
    Duration maxIdleTime = Milliseconds(900); ///< an idle connection is reused up to this age
    /// If the server sends a Keep-Alive timeout, that timeout less this margin is used instead of maxIdleTime. 0
    /// ignores the header.
    Duration idleMargin{};
    std::size_t maxIdleConnections = 64;
};

struct HttpClientCounts
{
    std::uint64_t requests = 0;
    std::uint64_t connections = 0;
    std::uint64_t connectFailures = 0;
};

/// HTTP/1.1 client for one address. Reports whether a request was certainly not sent or may have been. Must be used
/// on its loop's thread.
class HttpClient
{
public:
    HttpClient(EventLoop &loop, const HttpClientInit &init);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts an exchange; 0 as `timeout` means none. On timeout the exchange ends as Broken, or as Unreachable if no
    /// connection was established.
    ExchangeId start(const EndpointRequest &request, Duration timeout, ExchangeHandlers handlers);
    /// Closes the sending side, then waits for the endpoint to close its own, which confirms that it has stopped.
    void cancel(ExchangeId id);
    /// Resets the connection at once and discards the exchange: none of its handlers is called again.
    void abort(ExchangeId id);
    void pause(ExchangeId id, bool isPaused);
    /// Closes all idle connections; those in use are not affected.
    void closeIdleConnections();
    const HttpClientCounts &counts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// ---- bodies of model calls

enum class BodyError : std::uint8_t {
    None,
    NotJson,
    NotUtf8,
    TooDeep,
    NotObject,
    ModelMissing,
    MemberTwice, ///< a top-level member occurs twice, or its name is written with escapes
    WrongType, ///< a known field has the wrong type
    Count
};
template<>
struct EnumNames<BodyError>
{
    static constexpr std::array<std::string_view, enumCount<BodyError>> table{
        "none", "not_json", "not_utf8", "too_deep", "not_object", "model_missing", "member_twice", "wrong_type"};
};

/// Fields of a model call's body that the entry uses.
struct ModelCallInfo
{
    std::string model;
    bool stream = false;
    std::uint32_t maxTokens = 0; ///< 0 if unknown
    std::uint32_t promptTokens = 0; ///< estimate
    std::uint64_t prefixHash = 0; ///< hash of the beginning of the prompt; 0 if there is none
};

tl::expected<ModelCallInfo, BodyError> readModelCall(std::string_view body, std::uint32_t maxDepth);
/// Returns the body with "model" and, if given, "priority" replaced at the top level; all other bytes are unchanged.
/// `body` must have passed readModelCall().
std::string rewriteModelCall(std::string_view body, std::string_view model, std::optional<int> priority);

// ---- messages between processes

/// Why a message was dropped. Each reason has a counter.
enum class MessageDrop : std::uint8_t {
    TooLarge,
    NotParsed,
    WrongProtocol,
    NoBody,
    QueueFull, ///< more bytes are queued than allowed
    PeerBusy, ///< the send queue of the peer is full
    PeerGone,
    Count
};
template<>
struct EnumNames<MessageDrop>
{
    static constexpr std::array<std::string_view, enumCount<MessageDrop>> table{
        "too_large", "not_parsed", "wrong_protocol", "no_body", "queue_full", "peer_busy", "peer_gone"};
};

/// How the loss of a connection without a reset is detected.
enum class LivenessCheck : std::uint8_t {
    Heartbeats, ///< ZeroMQ heartbeats in both directions
    /// TCP keep-alive probes of the kernel, at no cost to the processes. A target that has sent a message must send
    /// at least one more within each silence timeout (normally it sends several), or its connection is closed.
    KeepAlive,
    Count
};

struct MessengerInit
{
    std::string address;
    std::uint16_t port = 0;
    std::string name;
    std::uint64_t incarnation = 0;
    Duration heartbeat = Milliseconds(500);
    Duration silenceTimeout = Milliseconds(2500); ///< a connection without proof of liveness for this long is closed
    LivenessCheck livenessCheck = LivenessCheck::Heartbeats;
    std::size_t maxMessageBytes = 16U << 20;
    std::size_t maxQueuedBytes = 64U << 20; ///< of all messages waiting to be sent
    std::size_t maxConnectQueue = 64; ///< messages that may wait for a connection to be established
    Duration handshakeTimeout = Seconds(2); ///< a connection without a complete handshake is closed
};

struct MessengerStats
{
    Counters<MessageDrop> dropped;
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t visitedTargets = 0; ///< targets that the messenger's thread has looked at without an event of theirs
    std::uint64_t listenerPauses = 0; ///< by few free descriptors or many unfinished handshakes
};

/// Exchanges envelopes over ZeroMQ: one bound ROUTER, and a DEALER for each process that this one connects to. One
/// thread owns the sockets. A broken connection is replaced by one with a new identity, so that no message of the old
/// connection arrives on the new one.
class Messenger
{
public:
    /// All are called on the messenger's thread and must not block.
    struct Handlers
    {
        /// Message from a process that connected to this one.
        std::function<void(PeerHandle, wire::Envelope &&)> fromPeer;
        std::function<void(PeerHandle)> peerLost;
        /// Message from a process that this one connected to.
        std::function<void(const std::string &name, wire::Envelope &&)> fromTarget;
        std::function<void(const std::string &name)> targetUp;
        std::function<void(const std::string &name)> targetLost;
        /// A call request was certainly not sent. Requests that may have been sent are never reported here.
        std::function<void(const std::string &name, const wire::AttemptId &)> sendFailed;
    };

    static tl::expected<std::unique_ptr<Messenger>, NetError> create(MessengerInit init, Handlers handlers);
    ~Messenger();
    Messenger(const Messenger &) = delete;
    Messenger &operator=(const Messenger &) = delete;

    std::uint16_t port() const;
    void start();
    /// Sends queued messages for a short time, then closes. No handler is called afterwards.
    void shutdown();

    // Callable from any thread.
    /// Connects to `address` under this name. A different address replaces the connection.
    void connectTo(const std::string &name, NetAddress address);
    void disconnectFrom(const std::string &name);
    void sendTo(PeerHandle peer, const wire::Envelope &message);
    void sendTo(const std::string &name, const wire::Envelope &message);
    /// Discards the state of a peer that is considered failed.
    void dropPeer(PeerHandle peer);
    MessengerStats stats() const;

private:
    struct Impl;
    explicit Messenger(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace anvilscale

template<>
struct std::hash<anvilscale::NetAddress>
{
    std::size_t operator()(const anvilscale::NetAddress &address) const noexcept
    {
        constexpr int portBits = 16;
        return std::hash<std::uint64_t>{}((std::uint64_t{address.ip()} << portBits) | address.port());
    }
};
