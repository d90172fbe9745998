Feature: A randomized soak of real routers under faults from outside
  Only a few seeds run here. To run many more: python -m soak --runs 50.

  Scenario Outline: The promises are kept under the faults of a seed
    When the soak plays seed <seed> for 6 s
    Then no promise was broken, and clients were served

    Examples:
      | seed |
      | 11   |

  Scenario Outline: The promises are kept while engines differ in speed and have slow spells
    When the soak plays seed <seed> for 6 s, and engines differ in speed
    Then no promise was broken, and clients were served

    Examples:
      | seed |
      | 12   |

  Scenario Outline: The promises are kept while engines end, at random and under one request
    When the soak plays seed <seed> for <seconds> s, and engines end
    Then no promise was broken, and clients were served

    Examples:
      | seed | seconds |
      | 21   | 6       |
      | 3009 | 8       |
      | 3048 | 8       |

  # Guards against: a stream whose engine ended was closed as complete, because its engine had marked
  # its end by nothing but the end of its connection.
  Scenario Outline: The promises are kept while engines that frame answers differently end
    When the soak plays seed <seed> for <seconds> s, engines end, and frame answers differently
    Then no promise was broken, and clients were served

    Examples:
      | seed | seconds |
      | 6400 | 8       |
      | 6401 | 8       |

  Scenario Outline: The promises are kept while engines of two software versions end
    When the soak plays seed <seed> for <seconds> s, and engines of two software versions end
    Then no promise was broken, and clients were served

    Examples:
      | seed | seconds |
      | 21   | 6       |

  Scenario Outline: The promises are kept while servers send notices in answers
    When the soak plays seed <seed> for <seconds> s, engines end, and servers send notices
    Then no promise was broken, and clients were served

    Examples:
      | seed | seconds |
      | 5000 | 9       |
      | 5003 | 9       |

  Scenario Outline: The promises are kept while the store is restored from a copy
    When the soak plays seed <seed> for <seconds> s, servers send notices, the store is restored
    Then no promise was broken, and clients were served

    Examples:
      | seed | seconds |
      | 5100 | 8       |

  Scenario Outline: The promises are kept under all kinds of faults at once
    When the soak plays seed <seed> for <seconds> s under all its faults
    Then no promise was broken, and clients were served

    Examples:
      | seed | seconds |
      | 7006 | 9       |
      | 7049 | 9       |
      | 9305 | 10      |

  Scenario Outline: The promises are kept while engines leave and others start
    When the soak plays seed <seed> for <seconds> s under all its faults, and engines leave
    Then no promise was broken, and clients were served

    Examples:
      | seed | seconds |
      | 6100 | 9       |
      | 6104 | 10      |
      | 7112 | 10      |

  # Guards against: a stream whose server fell silent for a second or so and went on was cut, seconds
  # before its deadline.
  Scenario Outline: Nothing is lost while servers fall silent and go on beside planned work
    When the soak plays seed <seed> for <seconds> s, with silences and planned work only
    Then no promise was broken, and clients were served

    Examples:
      | seed | seconds |
      | 101  | 10      |

  Scenario Outline: The promises are kept under all kinds of faults while servers fall silent
    When the soak plays seed <seed> for <seconds> s under all its faults, and servers fall silent
    Then no promise was broken, and clients were served

    Examples:
      | seed | seconds |
      | 7300 | 7       |

  # Guards against: values of other programs in the store ended routers, beside all other faults.
  Scenario Outline: The promises are kept under all kinds of faults while other programs write values of any kind
    When the soak plays seed <seed> for <seconds> s under all faults, and other programs write
    Then no promise was broken, and clients were served

    Examples:
      | seed  | seconds |
      | 18001 | 8       |
      | 18002 | 8       |

  # Guards against: the checks did not know the id of an engine that was added, had ended, and started again
  # under another id when the faults were cleared.
  Scenario: The answers of an engine that was added and started again under another id are known
    When the soak plays seed 18113 for 10 s under all that it draws
    Then no promise was broken, and clients were served

  # Guards against: the emulated site failed on an item of another program as it wrote its own items again.
  Scenario: The site writes its own items again after a copy, beside those of other programs
    When the soak plays seed 18121 for 10 s under all that it draws
    Then no promise was broken, and clients were served

  Scenario: The checks find requests that are lost beside silences
    Then an answer that breaks off before its deadline is found beside a silence
    And a request that was sent whole and got no answer is found beside a silence
    And a request without an answer by its deadline is found beside a silence
    And an answer that ends at its deadline, or a request that was not sent whole, is not found

  Scenario: The checks of departures know that a silent server reads late
    Then a request that a server read as it went on after a silence is not found
    And a request 0.5 s after a silence is found

  Scenario: The checks find requests that reached a server after it had left
    Then a request 2 s after a server has left is found
    And the bound counts from when the store can be reached again
    And a request of a router that was paused shortly before is not found

  Scenario: The checks find requests that reached a server during its back-off or after its notice
    Then 3 requests within a server's back-off are found, and 2 are not
    And a request 2 s after its router forwarded that the server leaves is found
    And neither is found where its router was paused, or the link to its server was cut

  Scenario: The checks find streams that break without a fault
    Then a stream that breaks off within its deadline is found
    And it is not found while a fault is active, or after its deadline

  Scenario: The checks find logs that tell other pauses than clients saw
    Then logs that tell other pauses than clients saw are found, and logs without them
    And logs that differ by 0.05 s, or in one stream of 20, are not found

  Scenario: The checks find each broken promise
    Given an attempt with a whole answer of "i-engine-1" that was run once
    Then the checks find nothing
    And each of these faults breaks its promise
      | fault       | promise                                |
      | seal        | a success carries a server's seal      |
      | events      | a stream is whole                      |
      | id          | an answer belongs to its request       |
      | run         | it runs once, not 2 times              |
      | refusal     | what was refused has not run           |
      | denial      | a proper request is not denied         |
      | return      | a refusal tells when to come back      |
      | sender      | nothing runs that nobody sent          |
      | deadline    | it has an answer by its deadline       |
