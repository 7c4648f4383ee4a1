/* Makes selected system calls of a process fail or transfer fewer bytes, for tests. Loaded with LD_PRELOAD.
 *
 * The rules are in a file that both the test and the process map; its path is in LAURELSTEP_SYSCALL_FAULTS,
 * and shim.py has the same layout in Python. A matching rule determines the result of a call: if `error` is
 * set, the call is not made and fails with that errno; otherwise it is made with at most `length` bytes.
 * Rules depend on the number of calls and never on time, so the same rules give the same failures.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define MAX_RULES 16
#define UNTIL_CLEARED (-1)

/* The values of `SystemCall` in shim.py. */
enum call { CALL_NONE, CALL_ACCEPT, CALL_SOCKET, CALL_CONNECT, CALL_READ, CALL_WRITE, CALL_WAIT, CALL_POLL };

struct rule {
    _Atomic int32_t call;      /* the test writes this field last; 0 disables the rule */
    _Atomic int32_t family;    /* address family of the socket; 0 = any */
    _Atomic int32_t type;      /* SOCK_STREAM or SOCK_DGRAM; 0 = any */
    _Atomic int32_t port;      /* port of the socket or of its peer; 0 = any */
    _Atomic int32_t skip;      /* matching calls that succeed first */
    _Atomic int32_t remaining; /* calls that the rule still applies to */
    _Atomic int32_t error;     /* errno; 0 = shorten the call instead */
    _Atomic int32_t length;    /* maximum bytes per call; 0 = no limit */
    _Atomic int32_t hits;      /* calls that the rule has applied to */
};

static struct rule *rules;
static pthread_once_t once = PTHREAD_ONCE_INIT;

static void map_rules(void)
{
    const char *path = getenv("LAURELSTEP_SYSCALL_FAULTS");
    int fd = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        return;
    void *found = mmap(NULL, MAX_RULES * sizeof(struct rule), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    rules = found == MAP_FAILED ? NULL : found;
}

static int port_of(const struct sockaddr *address)
{
    if (address->sa_family == AF_INET)
        return ntohs(((const struct sockaddr_in *)address)->sin_port);
    if (address->sa_family == AF_INET6)
        return ntohs(((const struct sockaddr_in6 *)address)->sin6_port);
    return 0;
}

static int has_port(int fd, int port, const struct sockaddr *target)
{
    struct sockaddr_storage own, peer;
    socklen_t size = sizeof own;
    if (target != NULL && port_of(target) == port)
        return 1;
    if (getsockname(fd, (struct sockaddr *)&own, &size) == 0 && port_of((struct sockaddr *)&own) == port)
        return 1;
    size = sizeof peer;
    return getpeername(fd, (struct sockaddr *)&peer, &size) == 0 &&
           port_of((struct sockaddr *)&peer) == port;
}

static int socket_option(int fd, int name)
{
    int value = -1;
    socklen_t size = sizeof value;
    return getsockopt(fd, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
}

/* Whether the rule applies to another matching call; counts the call. */
static int consume_call(struct rule *rule)
{
    int32_t left = atomic_load(&rule->skip);
    while (left > 0)
        if (atomic_compare_exchange_weak(&rule->skip, &left, left - 1))
            return 0;
    left = atomic_load(&rule->remaining);
    while (left > 0)
        if (atomic_compare_exchange_weak(&rule->remaining, &left, left - 1))
            return 1;
    return left == UNTIL_CLEARED;
}

/* The rule that applies to this call, or NULL. `fd` is -1 for a call that creates a descriptor; `family` and
 * `type` are read from the socket if they are 0. */
static struct rule *find_rule(enum call call, int fd, int family, int type, const struct sockaddr *target)
{
    int saved = errno;
    struct rule *found = NULL;
    pthread_once(&once, map_rules);
    for (int n = 0; rules != NULL && n < MAX_RULES && found == NULL; n++) {
        struct rule *rule = &rules[n];
        if (atomic_load(&rule->call) != (int32_t)call)
            continue;
        int32_t wanted = atomic_load(&rule->family);
        if (wanted != 0 && wanted != (family != 0 ? family : socket_option(fd, SO_DOMAIN)))
            continue;
        wanted = atomic_load(&rule->type);
        if (wanted != 0 && wanted != (type != 0 ? type : socket_option(fd, SO_TYPE)))
            continue;
        wanted = atomic_load(&rule->port);
        if (wanted != 0 && !has_port(fd, wanted, target))
            continue;
        if (consume_call(rule)) {
            atomic_fetch_add(&rule->hits, 1);
            found = rule;
        }
    }
    errno = saved;
    return found;
}

/* 1, with errno set, if the rule lets the call fail. */
static int apply_error(struct rule *rule)
{
    int32_t error = rule == NULL ? 0 : atomic_load(&rule->error);
    if (error != 0)
        errno = error;
    return error != 0;
}

/* The number of bytes that the call may move. */
static size_t limit_size(struct rule *rule, size_t size)
{
    size_t limit = rule == NULL ? 0 : (size_t)atomic_load(&rule->length);
    return limit != 0 && limit < size ? limit : size;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) \
        real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int accept(int fd, struct sockaddr *address, socklen_t *size)
{
    REAL(accept);
    return apply_error(find_rule(CALL_ACCEPT, fd, 0, 0, NULL)) ? -1 : real(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    REAL(accept4);
    return apply_error(find_rule(CALL_ACCEPT, fd, 0, 0, NULL)) ? -1 : real(fd, address, size, flags);
}

int socket(int family, int type, int protocol)
{
    REAL(socket);
    int kind = type & ~(SOCK_NONBLOCK | SOCK_CLOEXEC);
    return apply_error(find_rule(CALL_SOCKET, -1, family, kind, NULL)) ? -1 : real(family, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    REAL(connect);
    return apply_error(find_rule(CALL_CONNECT, fd, 0, 0, address)) ? -1 : real(fd, address, size);
}

ssize_t read(int fd, void *data, size_t size)
{
    REAL(read);
    struct rule *rule = find_rule(CALL_READ, fd, 0, 0, NULL);
    return apply_error(rule) ? -1 : real(fd, data, limit_size(rule, size));
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    REAL(recv);
    struct rule *rule = find_rule(CALL_READ, fd, 0, 0, NULL);
    return apply_error(rule) ? -1 : real(fd, data, limit_size(rule, size), flags);
}

ssize_t recvfrom(int fd, void *data, size_t size, int flags, struct sockaddr *from, socklen_t *length)
{
    REAL(recvfrom);
    struct rule *rule = find_rule(CALL_READ, fd, 0, 0, NULL);
    return apply_error(rule) ? -1 : real(fd, data, limit_size(rule, size), flags, from, length);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags)
{
    REAL(recvmsg);
    return apply_error(find_rule(CALL_READ, fd, 0, 0, NULL)) ? -1 : real(fd, message, flags);
}

ssize_t write(int fd, const void *data, size_t size)
{
    REAL(write);
    struct rule *rule = find_rule(CALL_WRITE, fd, 0, 0, NULL);
    return apply_error(rule) ? -1 : real(fd, data, limit_size(rule, size));
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    REAL(send);
    struct rule *rule = find_rule(CALL_WRITE, fd, 0, 0, NULL);
    return apply_error(rule) ? -1 : real(fd, data, limit_size(rule, size), flags);
}

ssize_t sendto(int fd, const void *data, size_t size, int flags, const struct sockaddr *to, socklen_t length)
{
    REAL(sendto);
    struct rule *rule = find_rule(CALL_WRITE, fd, 0, 0, to);
    return apply_error(rule) ? -1 : real(fd, data, limit_size(rule, size), flags, to, length);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags)
{
    REAL(sendmsg);
    struct rule *rule = find_rule(CALL_WRITE, fd, 0, 0, NULL);
    if (apply_error(rule))
        return -1;
    if (rule == NULL || atomic_load(&rule->length) == 0 || message->msg_iovlen == 0)
        return real(fd, message, flags);
    struct msghdr part = *message;
    struct iovec first = message->msg_iov[0];
    first.iov_len = limit_size(rule, first.iov_len);
    part.msg_iov = &first;
    part.msg_iovlen = 1;
    return real(fd, &part, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    REAL(writev);
    struct rule *rule = find_rule(CALL_WRITE, fd, 0, 0, NULL);
    if (apply_error(rule))
        return -1;
    if (rule == NULL || atomic_load(&rule->length) == 0 || count == 0)
        return real(fd, parts, count);
    return write(fd, parts[0].iov_base, limit_size(rule, parts[0].iov_len));
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    REAL(epoll_wait);
    return apply_error(find_rule(CALL_WAIT, fd, 0, 0, NULL)) ? -1 : real(fd, events, max_events, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int max_events, int timeout, const sigset_t *mask)
{
    REAL(epoll_pwait);
    return apply_error(find_rule(CALL_WAIT, fd, 0, 0, NULL)) ? -1 : real(fd, events, max_events, timeout, mask);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout)
{
    REAL(poll);
    return apply_error(find_rule(CALL_POLL, -1, 0, 0, NULL)) ? -1 : real(descriptors, count, timeout);
}
