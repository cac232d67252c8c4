import {z} from 'zod';
import {ROUTE_DESCRIPTIONS} from './route_descriptions.js';

type Route = (typeof ROUTE_DESCRIPTIONS)[number];

const ProblemDocument = z.object({
  type: z.string(),
  title: z.string(),
  status: z.int(),
  code: z.string(),
  detail: z.string(),
  details: z.record(z.string(), z.unknown()),
});

/** Renders the OpenAPI document from the route descriptions and schemas. */
export function renderOpenapi(): unknown {
  const paths: Record<string, Record<string, unknown>> = {};
  for (const route of ROUTE_DESCRIPTIONS) {
    const path = route.path.replace(/:(\w+)/g, '{$1}');
    paths[path] = {...paths[path], [route.method]: describeOperation(route)};
  }
  return {
    openapi: '3.1.0',
    info: {title: 'cardamomfield', version: '1'},
    paths,
  };
}

function describeOperation(route: Route): unknown {
  return {
    summary: route.summary,
    parameters: [
      ...[...route.path.matchAll(/:(\w+)/g)].map(([, name]) =>
        parameter('path', name ?? '', 'Key of the request.', true),
      ),
      ...parameters('query', route.query),
      ...parameters('header', route.headers),
    ],
    ...(route.body && {
      requestBody: {required: true, content: jsonContent(route.body, 'input')},
    }),
    responses: {
      ...Object.fromEntries(
        Object.entries(route.statuses).map(([status, description]) => [
          status,
          {
            description,
            content: jsonContent(route.answer ?? z.json(), 'output'),
          },
        ]),
      ),
      default: {
        description: 'A problem document; `code` is stable.',
        content: {
          'application/problem+json': {schema: toJsonSchema(ProblemDocument)},
        },
      },
    },
  };
}

function parameters(
  location: string,
  descriptions: Readonly<Record<string, string>> = {},
): unknown[] {
  return Object.entries(descriptions).map(([name, description]) =>
    parameter(location, name, description, false),
  );
}

function parameter(
  location: string,
  name: string,
  description: string,
  required: boolean,
): unknown {
  const schema = {type: 'string'};
  return {in: location, name, description, required, schema};
}

function jsonContent(schema: z.ZodType, io: 'input' | 'output'): unknown {
  return {'application/json': {schema: toJsonSchema(schema, io)}};
}

function toJsonSchema(schema: z.ZodType, io: 'input' | 'output' = 'output') {
  return z.toJSONSchema(schema, {io, unrepresentable: 'any'});
}
