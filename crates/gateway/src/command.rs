//! Sends commands and queries to backend servers. They carry no request id, and neither do their responses.

use h1::Error;
use h1::Response;
use h1::body::Decoder;
use placement::Server;

use crate::Node;
use crate::dial;
use crate::dial::Reuse;
use crate::notice;

/// The size limits of the head and of the body of a response, in bytes.
const RESPONSE_LIMIT: usize = 64 * 1024;

/// Sends a command to a server and returns the head of its response.
pub async fn send(
    node: &Node,
    server: &Server,
    mut head: h1::Request,
    body: &[u8],
) -> Result<Response, Error> {
    head.headers.push("Host", server.address.to_string());
    let mut bytes = head.encode();
    bytes.extend_from_slice(body);
    let mut connection = dial::connect(node, server, &[]).await?;
    let stream = &mut connection.stream;
    stream.writer().write(&bytes).await?;
    let response = stream.read_response(&head.method, RESPONSE_LIMIT).await?;
    if node.protocol.response_id(&response).is_some() {
        return Err(Error::Malformed(
            "the response to a command carries the id of a request",
        ));
    }
    notice::record(node, server, &response, None);
    let mut decoder = Decoder::new(response.framing);
    stream.read_whole_body(&mut decoder, RESPONSE_LIMIT).await?;
    dial::keep(node, server.key(), connection, Reuse::of(&response));
    Ok(response)
}
