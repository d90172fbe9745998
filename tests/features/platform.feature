@nodes.2
Feature: The router serves the users' platform
  Routers and the emulated platform run as processes of their own; no configuration lists routers.

  Scenario Outline: A request of each kind is answered whole, with the server's seal
    When "planners" sends "<method>" "<path>" with "<tokens>" tokens to router <router>
    Then the attempt has status 200 and a seal
    And the attempt was run 1 time

    Examples:
      | method | path           | tokens | router |
      | POST   | /diagnosis/a%7e | 900,30 | 1      |
      | POST   | /summary/a     | 900,30 | 2      |
      | POST   | /valve/a       |        | 1      |
      | GET    | /setpoint/a?q=1 |       | 2      |

  Scenario: A server sees the workspace and its own instance, and never the key
    When "planners" sends "POST" "/valve/a" with forged headers to router 1
    Then the attempt has status 200 and a seal
    And the server saw "Tenant-Name" as "planners"
    And the server saw its own instance expected
    And the server did not see "Authorization"

  Scenario Outline: Headers that only the router sets are never forwarded, and their request is still served
    Given <trouble>
    When "planners" sends "<method>" "<path>" with headers that only the router sets
    Then the attempt has status 200 and a seal
    And no server got a header that only the router sets

    Examples:
      | method | path         | trouble                                   |
      | POST   | /diagnosis/a | nothing is wrong                          |
      | POST   | /summary/a   | nothing is wrong                          |
      | POST   | /valve/a     | nothing is wrong                          |
      | GET    | /setpoint/a  | nothing is wrong                          |
      | GET    | /mixed/a     | nothing is wrong                          |
      | GET    | /setpoint/a  | server "i-desk-1" loses 1 answer          |
      | POST   | /diagnosis/a | the next stream breaks off after 4 events |

  Scenario: A body in chunks arrives whole
    When "planners" sends "POST" "/valve/a" with a body in chunks to router 1
    Then the attempt has status 200 and a seal
    And the body that came back ends with "one two three"

  Scenario Outline: A request that cannot be served gets a status that says why
    When "<workspace>" sends "GET" "<path>" with "" tokens to router 1
    Then the attempt has status <status> and no seal
    And the attempt was run 0 times

    Examples:
      | workspace | path        | status |
      | planners  | /nowhere/a  | 404    |
      | a-stranger | /setpoint/a | 401   |

  Scenario: An open route needs no key
    When nobody sends "GET" "/open/a" to router 1
    Then the attempt has status 200 and a seal
    And the server did not see "Tenant-Name"

  Scenario Outline: A head that two parsers might read differently is refused
    When a caller sends the head "<head>" to router 1
    Then the raw answer has status <status>

    Examples:
      | head                                                     | status |
      | GET /open/a HTTP/1.1;Host: site.example;Content-Length: 1;Transfer-Encoding: chunked | 400 |
      | GET /open/a HTTP/1.1;Host: site.example;Content-Length: 1;Content-Length: 1 | 400 |
      | GET /open/a HTTP/1.1;Host: site.example;X: a; folded | 400 |
      | GET http://site.example/open/a HTTP/1.1;Host: site.example | 400 |
      | GET /open/a HTTP/1.1;Host: site.example;Bad Name: a | 400 |
      | GET /open/a HTTP/1.1;Host: site.example | 400 |
      | GET /open/a HTTP/1.1;Host: site.example;Attempt-Id: a;Attempt-Id: b | 400 |

  Scenario: A bare line feed is refused
    When a caller sends a head with bare line feeds to router 1
    Then the raw answer has status 400

  Scenario: A head over the bound is refused
    When a caller sends a head of 9000 bytes to router 1
    Then the raw answer has status 431

  Scenario: A head that never ends is refused
    When a caller sends half a head and waits at router 1
    Then the raw answer has status 408

  Scenario: A body over the bound is refused
    When "planners" sends "POST" "/valve/a" with a body of 70000 bytes to router 1
    Then the attempt has status 413 and no seal

  Scenario: A request that was refused by one server runs at another
    Given server "i-engine-1" refuses 1 request
    And server "i-engine-2" refuses 1 request
    When "planners" sends "POST" "/diagnosis/a" with "900,30" tokens to router 1
    Then the attempt has status 503 and a time to come back
    And the attempt was run 0 times

  Scenario: A request that may not be repeated is not sent again after its answer is lost
    Given server "i-desk-1" loses 1 answer
    When "planners" sends "POST" "/valve/a" with "" tokens to router 1
    Then the attempt has status 502 and no seal
    And the attempt was run 1 time

  Scenario: A request that may be repeated is sent again after its answer is lost
    Given server "i-desk-1" loses 1 answer
    When "planners" sends "GET" "/setpoint/a" with "" tokens to router 1
    Then the attempt has status 200 and a seal
    And the attempt was run 2 times

  Scenario: The operator's tool explains a failed request from the logs
    Given server "i-desk-1" loses 1 answer
    When "planners" sends "POST" "/valve/a" with "" tokens to router 1
    Then the tool explains the attempt with "answer_broken" before "status 502"

  Scenario: The operator's tool reports what was lost, and where, from the logs
    Given server "i-desk-1" loses 1 answer
    When "planners" sends "POST" "/valve/a" with "" tokens to router 1
    And "a-stranger" sends "GET" "/setpoint/a" with "" tokens to router 2
    Then the tool's losses list "valve" and "planners" with the reason "status 502: backend_broken"
    And the tool's losses name the attempts to explain
    And the tool draws its losses

  Scenario: A request's last log line has its size as shares count it
    When "planners" sends "POST" "/diagnosis/a" with "900,60" tokens to router 1
    Then the log of router 1 has "request ended" with "share_tokens" 1020

  Scenario: A resumable stream goes on at another server from its last whole event
    Given the next stream breaks off after 4 events
    When "planners" sends "POST" "/diagnosis/a" with "900,60" tokens to router 1
    Then the attempt has status 200 and a seal
    And its events are numbered from 1 to 20 without a gap

  # Guards against: an answer without a length or chunks ended inside an event, and the half event was
  # forwarded as the regular end of the stream, which its client took for complete.
  Scenario: A stream that ends inside an event with its connection goes on from its last whole event
    Given the next answer has no length and ends inside the event after 4 events
    When "planners" sends "POST" "/diagnosis/a" with "900,60" tokens to router 2
    Then the attempt has status 200 and a seal
    And its events are numbered from 1 to 20 without a gap

  Scenario: A stream that ends inside an event and cannot be resumed never looks complete
    Given the next answer has no length and ends inside the event after 4 events
    When "planners" sends "POST" "/summary/a" with "900,60" tokens to router 2
    Then the answer broke off before its end

  Scenario Outline: A stream that ends with its connection after its last event is complete
    Given answers have no length
    When "planners" sends "POST" "<path>" with "900,60" tokens to router 1
    Then the attempt has status 200 and a seal
    And its events are numbered from 1 to 20 without a gap

    Examples:
      | path         |
      | /diagnosis/a |
      | /summary/a   |

  Scenario: A broken stream that cannot be resumed never looks complete
    Given the next stream breaks off after 4 events
    When "planners" sends "POST" "/summary/a" with "900,60" tokens to router 1
    Then the answer broke off before its end

  Scenario: An answer with another request's id reaches no caller
    Given every engine answers 1 request under a wrong id
    When "planners" sends "POST" "/summary/a" with "900,30" tokens to router 1
    Then the attempt has status 502 and no seal

  Scenario: An answer without a length that is reset never looks complete
    Given server "i-desk-1" resets 1 answer half-way that has no length
    When "planners" sends "POST" "/valve/a" with "" tokens to router 1
    Then the attempt has status 502 and no seal

  Scenario: A caller that leaves ends its run
    Given every engine holds its streams after 2 events
    When "planners" opens a stream at router 1 and leaves after the first event
    Then the engines cancel that run

  Scenario: Callers that leave do not get a server ejected
    Given every engine is silent
    When "planners" leaves 7 requests at router 1 once an engine runs them
    Then the engines cancel that run
    And no router has ejected an engine

  Scenario: A stopping router ends what it runs and is not ready meanwhile
    Given every engine holds its streams after 2 events
    When "planners" opens a stream at router 1
    And the platform stops router 1
    Then router 1 is not ready
    And the stream goes on to its whole end once the engines go on
    And router 1 has ended with status 0

  Scenario: A stopping router answers its callers until it ends
    Given every engine holds its streams after 2 events
    When "planners" opens a stream at router 1
    And the platform stops router 1
    Then router 1 serves "planners" or refuses with a time to come back, and refuses in the end
    And the stream goes on to its whole end once the engines go on
    And router 1 has ended with status 0

  Scenario: Callers that connect while a router is still being imported are served
    When callers connect to router 1 from the moment on at which it is started again
    Then none of them finds no listener once one has found it

  Scenario: A start imports only what a router needs
    Then a start imports at most 560 modules, and none of "pydantic, dns, typer, jsonc"

  Scenario: A configuration that cannot be read leaves the old one in force
    When the operator publishes "{ no configuration"
    And "planners" sends "GET" "/setpoint/a" with "" tokens to router 1
    Then the attempt has status 200 and a seal
    And the log of router 1 has "configuration rejected"

  Scenario: A new version is in force at every router, also after history was lost
    When the store forgets its history
    And the operator publishes version 7 without the route "open"
    Then every router answers "/open/a" with 404

  Scenario: The last good state stays in use while the store is away
    Given the store answers every call with 503
    When "planners" sends "GET" "/setpoint/a" with "" tokens to router 2
    Then the attempt has status 200 and a seal

  # Guards against: the log told only the first reason of an outage, so that a store that answered
  # nonsense within an outage by status 503 left no trace of it.
  Scenario: A store that fails in another way during an outage is logged again
    Given the store answers every call with 503
    When the log of router 1 has "status 503"
    And the store answers nonsense instead
    Then the log of router 1 has "the answer makes no sense"

  Scenario: Invalid answers of the store change nothing, and later valid ones are applied
    Given the store answers nonsense
    When the operator publishes version 9 with every route
    And the log of router 1 has "the answer makes no sense"
    And "planners" sends "GET" "/setpoint/a" with "" tokens to router 1
    Then the attempt has status 200 and a seal
    When the store makes sense again
    Then every router answers "/open/a" with 200

  Scenario: A draining server gets no new requests
    When server "i-engine-1" is draining
    And "planners" sends 8 requests to "/summary/a" through both routers
    Then server "i-engine-1" ran none of them

  Scenario: The metrics address reports counters
    When "a-stranger" sends "GET" "/setpoint/a" with "" tokens to router 1
    Then the metrics of router 1 count "refusal.unauthenticated"

  Scenario: The metrics address and the log report an owner's estimates of its engines
    When "planners" sends 8 requests to "/summary/a" through both routers
    Then the metrics of some router give "i-engine-1" a rate, a delay and a window
    And the log of some router has the estimates behind "admission granted"

  Scenario: Changed settings are applied while a stream runs, and invalid ones change nothing
    Given every engine holds its streams after 2 events
    When "planners" opens a stream at router 1
    And the settings of router 1 become invalid and it is signalled to reload them
    And the settings of router 1 name the seed "127.0.0.9:4000" and it is signalled to reload them
    Then the log of router 1 has "settings reloaded"
    And the stream goes on to its whole end once the engines go on

  Scenario: Error answers of a plain service do not get its server ejected
    Given server "i-desk-1" answers 5 requests with a failure of its own
    When "planners" sends 5 requests to "/valve/a" through router 1
    Then every one of them has status 500 and a seal
    And "planners" is served at "/valve/a" by router 1 at once

  Scenario: A server that keeps losing its answers is ejected
    Given server "i-desk-1" loses 6 answers
    When "planners" sends 6 requests to "/valve/a" through router 1
    Then the log of router 1 or 2 has "ejected"

  Scenario: A workspace's own priority overrides the route's
    When the configuration gives "planners" the priority 0
    Then a request of "planners" on a route of priority 1 has the priority 0
    And a request of "dispatch" on a route of priority 1 has the priority 1

  @nodes.1.empty
  Scenario: A router without a configuration refuses requests and is not ready
    When "planners" sends "GET" "/setpoint/a" with "" tokens to router 1
    Then the attempt has status 503 and a time to come back
    And router 1 is not ready

  @nodes.1.small
  Scenario: Idle connections beyond half of the limit do not keep new callers out
    When 150 callers ask for "/nowhere/a" at router 1 and keep their connections open
    Then some of their connections were ended after the answer
    When "planners" sends "GET" "/setpoint/a" with "" tokens to router 1
    Then the attempt has status 200 and a seal

  Scenario Outline: Callers' connections fit the memory as well as the descriptors
    Then a VM of <memory> MB and <descriptors> descriptors takes <connections> connections

    Examples:
      | memory | descriptors | connections |
      | 88     | 4100        | 200         |
      | 150    | 4100        | 1120        |
      | 552    | 4100        | 3500        |

  Scenario: All invalid settings are reported at once
    When a router starts with the settings "IpAddress=here;Zone;NodeName=n"
    Then it ends with status 2 and names "IpAddress, line 2, ListenAddresses, Platform"
